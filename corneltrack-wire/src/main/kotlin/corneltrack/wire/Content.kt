package corneltrack.wire

/** The body of a control message, which is JSON text or a binary message. */
@JvmInline
public value class Content(public val bytes: ByteArray) {
    /** The body as UTF-8 text. */
    public val text: String get() = String(bytes, Charsets.UTF_8)

    /** The size of the body, in bytes. */
    public val size: Int get() = bytes.size

    public companion object {
        /** An empty body. */
        public val EMPTY: Content = Content(ByteArray(0))

        /** Returns a body with [text] in UTF-8. */
        public fun of(text: String): Content = if (text.isEmpty()) EMPTY else Content(text.toByteArray())
    }
}
