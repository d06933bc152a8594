package corneltrack.router.callers

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil

/** The size of the pieces of a long body whose length is not announced; the first ones are smaller. */
private const val MAXIMUM_PIECE_BYTES = 8 * 1024
private const val MINIMUM_PIECE_BYTES = 512

/**
 * Assembles the body of one request on the heap, within the limit of one body and the bound over all.
 *
 * A body of announced length is one array; one in chunks grows piece by piece, each accounted for as it is allocated.
 *
 * @param limitBytes the maximum size of the body.
 */
internal class RequestBody(head: HttpRequest, private val limitBytes: Int, private val memory: BodyMemory.Part) {
    private val announcedBytes = HttpUtil.getContentLength(head, 0L).coerceIn(0L, limitBytes.toLong()).toInt()
    private val fullPieces = ArrayList<ByteArray>()
    private var piece = ByteArray(0)
    private var pieceSize = 0
    private var allocatedBytes = 0
    private var size = 0

    /** Whether the size of the body exceeds its limit. */
    var tooLarge: Boolean = false
        private set

    /** Holds memory for the announced length. Returns false if there is none. */
    fun reserve(): Boolean = memory.tryHold(announcedBytes.toLong())

    /** Adds [content] without releasing it. Returns false if there is no room for it. */
    fun add(content: ByteBuf): Boolean {
        tooLarge = size.toLong() + content.readableBytes() > limitBytes
        var fits = !tooLarge
        val from = content.slice()
        while (fits && from.isReadable) {
            if (pieceSize == piece.size) fits = beginPiece(from.readableBytes())
            if (fits) fillPiece(from)
        }
        return fits
    }

    private fun fillPiece(from: ByteBuf) {
        val count = minOf(piece.size - pieceSize, from.readableBytes())
        from.readBytes(piece, pieceSize, count)
        pieceSize += count
        size += count
    }

    /** Returns the whole body, which takes no more memory than its size. */
    fun content(): BodyContent {
        val last = if (pieceSize == piece.size) piece else piece.copyOf(pieceSize)
        piece = last
        memory.shrinkTo(size.toLong())
        return BodyContent(if (last.isEmpty()) fullPieces else fullPieces + last)
    }

    /** Frees the memory. */
    fun release() = memory.release()

    /** Allocates the next piece, for [waitingBytes] or more. Returns false if there is no room for it. */
    private fun beginPiece(waitingBytes: Int): Boolean {
        val unannounced = maxOf(waitingBytes, size).coerceIn(MINIMUM_PIECE_BYTES, MAXIMUM_PIECE_BYTES)
        val capacity = if (size < announcedBytes) announcedBytes - size else unannounced
        val fits = memory.tryHold((allocatedBytes + capacity).toLong())
        if (fits) {
            if (piece.isNotEmpty()) fullPieces += piece
            piece = ByteArray(capacity)
            pieceSize = 0
            allocatedBytes += capacity
        }
        return fits
    }
}
