package corneltrack.router.callers

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext

/** Refusals and short responses that may wait before no further request is decoded, in bytes. */
private const val ANSWERS_BEFORE_PAUSE_BYTES = 16_384L

/** The same while memory is short; one refusal. */
private const val SHORT_ANSWERS_BEFORE_PAUSE_BYTES = 512L

/**
 * Writes to one caller and accounts for what it has not read. Confined to the connection's event loop.
 *
 * @param undecodedBytes returns the memory of what is received and not decoded, accounted with what is not read.
 */
internal class CallerOutput(
    private val context: ChannelHandlerContext,
    private val memory: CallerMemory,
    private val part: CallerMemory.Part,
    private val undecodedBytes: () -> Int,
) {
    private val backlog = ResponseBacklog(memory::mayWait)

    /** The bytes written that the caller has not read. */
    val pendingBytes: Long get() = context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    /** Whether more of a response may be written now. */
    val writable: Boolean get() = backlog.mayContinue(pendingBytes)

    /** Whether the caller has read so much that another of its requests may be decoded. */
    val mayAnswerMore: Boolean
        get() = pendingBytes < if (memory.short) SHORT_ANSWERS_BEFORE_PAUSE_BYTES else ANSWERS_BEFORE_PAUSE_BYTES

    /** Whether the caller reads slowly what waits for it. */
    val slow: Boolean get() = backlog.slow

    /** Writes [message], which takes about [bytes]. */
    fun write(message: Any, bytes: Int): ChannelFuture {
        val written = context.writeAndFlush(message)
        backlog.onQueued(bytes)
        account()
        return written
    }

    /** Updates what is held for this caller. */
    fun account() = part.hold(HeldKind.WAITING, pendingBytes + undecodedBytes())

    /** Returns what to do about the speed of the caller. */
    fun check(nowMs: Long): BacklogStep {
        account()
        return backlog.check(pendingBytes, nowMs)
    }
}
