package corneltrack.router.callers

import io.netty.handler.codec.http.HttpHeaders

private const val NAME_END = ':'.code.toByte()
private const val LINE_END = '\n'.code.toByte()

/** The bytes that end the name and the value of a line. */
private const val LINE_OVERHEAD_BYTES = 2

/**
 * Holds the header lines of a request as bytes while the request is in progress.
 *
 * A decoded line takes some 160 bytes beside its text, and is needed only while a request is admitted or sent.
 */
internal class CompactHeaders(headers: HttpHeaders) {
    private val lines = encode(headers)

    /** The memory that the lines take, in bytes. */
    val sizeBytes: Int get() = lines.size

    /** Adds the lines to [headers], in their order. */
    fun addTo(headers: HttpHeaders) {
        var start = 0
        while (start < lines.size) {
            val nameEnd = indexOf(NAME_END, start)
            val lineEnd = indexOf(LINE_END, nameEnd)
            headers.add(text(start, nameEnd), text(nameEnd + 1, lineEnd))
            start = lineEnd + 1
        }
    }

    private fun indexOf(byte: Byte, from: Int): Int {
        var index = from
        while (lines[index] != byte) index++
        return index
    }

    private fun text(start: Int, end: Int) = String(lines, start, end - start, Charsets.ISO_8859_1)
}

private fun encode(headers: HttpHeaders): ByteArray {
    var size = 0
    headers.forEachLine { name, value -> size += name.length + value.length + LINE_OVERHEAD_BYTES }
    val lines = ByteArray(size)
    var end = 0
    headers.forEachLine { name, value ->
        end = lines.put(end, name, NAME_END)
        end = lines.put(end, value, LINE_END)
    }
    return lines
}

private inline fun HttpHeaders.forEachLine(action: (name: CharSequence, value: CharSequence) -> Unit) =
    iteratorCharSequence().forEach { action(it.key, it.value) }

/** Writes [text], of which each character is one byte, and [terminator]; returns the position behind them. */
private fun ByteArray.put(start: Int, text: CharSequence, terminator: Byte): Int {
    for (index in text.indices) this[start + index] = text[index].code.toByte()
    this[start + text.length] = terminator
    return start + text.length + 1
}
