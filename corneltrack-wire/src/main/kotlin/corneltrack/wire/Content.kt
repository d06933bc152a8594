package corneltrack.wire

/** Holds the body of a control message: JSON text or a compact binary message. */
@JvmInline
public value class Content(public val bytes: ByteArray) {
    /** The body as UTF-8 text. */
    public val text: String get() = String(bytes, Charsets.UTF_8)

    /** The length of the body, in bytes. */
    public val size: Int get() = bytes.size

    public companion object {
        /** No body. */
        public val EMPTY: Content = Content(ByteArray(0))

        /** Returns [text] as a body in UTF-8. */
        public fun of(text: String): Content = if (text.isEmpty()) EMPTY else Content(text.toByteArray())
    }
}
