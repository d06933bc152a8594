package corneltrack.router.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.security.MessageDigest

/**
 * Holds the body of a request in the pieces in which it was assembled, so that it is never copied as a whole.
 *
 * @param pieces arrays that are full and do not change any more.
 */
internal class BodyContent(private val pieces: List<ByteArray>) {
    constructor(bytes: ByteArray) : this(listOf(bytes))

    /** The size of the body, in bytes. */
    val size: Int = pieces.sumOf { it.size }

    /** Returns a buffer over the body, which shares its memory. */
    fun toByteBuf(): ByteBuf {
        val single = pieces.singleOrNull()
        if (single != null) return Unpooled.wrappedBuffer(single)
        val all = Unpooled.compositeBuffer(maxOf(1, pieces.size))
        return pieces.fold(all) { buffer, piece -> buffer.addComponent(true, Unpooled.wrappedBuffer(piece)) }
    }

    /** Returns the body in one new array. */
    fun toByteArray(): ByteArray = ByteArray(size).also { toByteBuf().readBytes(it) }

    /** Adds the body to [digest]. */
    fun addTo(digest: MessageDigest) = pieces.forEach(digest::update)
}
