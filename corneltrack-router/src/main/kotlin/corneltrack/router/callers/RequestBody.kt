package corneltrack.router.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil

/**
 * Assembles the body of one request on the heap, within the limit of one body and the bound over all.
 *
 * @param limitBytes the maximum size of the body.
 */
internal class RequestBody(head: HttpRequest, private val limitBytes: Int, private val memory: BodyMemory.Part) {
    private val announcedBytes = HttpUtil.getContentLength(head, 0L).coerceIn(0L, limitBytes.toLong())
    private val received: ByteBuf by lazy(LazyThreadSafetyMode.NONE) { Unpooled.buffer(announcedBytes.toInt()) }
    private var size = 0L

    /** Whether the size of the body exceeds its limit. */
    var tooLarge: Boolean = false
        private set

    /** Holds memory for the announced length. Returns false if there is none. */
    fun reserve(): Boolean = memory.tryHold(announcedBytes)

    /** Adds [content] without releasing it. Returns false if there is no room for it. */
    fun add(content: ByteBuf): Boolean {
        size += content.readableBytes()
        tooLarge = size > limitBytes
        val fits = !tooLarge && memory.tryHold(size)
        if (fits && content.isReadable) received.writeBytes(content, content.readerIndex(), content.readableBytes())
        return fits
    }

    /** Returns the whole body. */
    fun bytes(): ByteArray {
        val exact = size == announcedBytes && received.hasArray() && received.array().size.toLong() == size
        return if (exact) received.array() else ByteArray(size.toInt()).also { received.readBytes(it) }
    }

    /** Frees the memory. */
    fun release() = memory.release()
}
