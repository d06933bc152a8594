package corneltrack.router.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse

private const val MAXIMUM_BUFFERED_BYTES = 1024 * 1024

/** Up to this size, an event that has not ended is held however much other responses hold. */
private const val SMALL_EVENT_BYTES = 8 * 1024

/** What a buffer that is passed on may take beyond its content; less costs less than a copy. */
private const val MAXIMUM_SURPLUS_BYTES = 16 * 1024

/** Forwards the body of one endpoint's response to the caller. */
internal interface ResponseDelivery : AutoCloseable {
    /** Whether the body could end here. */
    val mayEnd: Boolean

    /** Processes a part of the body without releasing it. Returns why the body is not a valid response, or null. */
    fun onContent(data: ByteBuf): String?

    /** Sends what is left of the complete response to the caller, and its end. */
    fun deliver()
}

/**
 * Forwards events as they arrive.
 *
 * The head is sent with the first event, so that a request whose endpoint fails before it can still be retried. Events
 * that the caller already has are skipped.
 *
 * @param onEvent called for each event of the endpoint, also for skipped ones.
 */
internal class EventStreamDelivery(
    private val call: RelayedCall,
    private val head: HttpResponse,
    memory: ResponseMemory,
    private val onEvent: () -> Unit,
) : ResponseDelivery {
    private val held = memory.newPart()
    private val events = EventSplitter()
    private val resumeAfterId = call.lastEventId?.toLongOrNull()

    override val mayEnd: Boolean get() = !events.hasPartialEvent

    override fun onContent(data: ByteBuf): String? {
        events.feed(data).forEach(::forward)
        val partialBytes = events.partialEventBytes
        return when {
            events.partialEventTooLong -> "an event without an end"
            !held.tryHold(partialBytes) && partialBytes > SMALL_EVENT_BYTES -> "a long event while memory is short"
            else -> null
        }
    }

    override fun deliver() {
        call.deliverHead(head)
        call.sink.end()
    }

    override fun close() {
        held.release()
        events.close()
    }

    private fun forward(event: StreamEvent) {
        onEvent()
        if (isDuplicate(event)) {
            event.bytes.release()
            return
        }
        call.deliverHead(head)
        event.id?.let { call.lastEventId = it }
        call.sink.content(event.bytes)
    }

    private fun isDuplicate(event: StreamEvent): Boolean {
        val id = event.id?.toLongOrNull()
        return resumeAfterId != null && id != null && id <= resumeAfterId
    }
}

/**
 * Buffers a body until it is complete, so that the caller gets nothing of a truncated one.
 *
 * Once a body exceeds [MAXIMUM_BUFFERED_BYTES], or all responses together hold too much, it is forwarded as it arrives.
 */
internal class BufferedDelivery(
    private val call: RelayedCall,
    private val head: HttpResponse,
    memory: ResponseMemory,
) : ResponseDelivery {
    private val held = memory.newPart()
    private var body: ByteBuf = Unpooled.buffer(0)
    override val mayEnd: Boolean get() = true

    override fun onContent(data: ByteBuf): String? {
        body.writeBytes(data, data.readerIndex(), data.readableBytes())
        val fits = body.readableBytes() <= MAXIMUM_BUFFERED_BYTES
        val mayHold = !call.responseStarted && fits && held.tryHold(body.capacity())
        if (!mayHold) sendBody()
        return null
    }

    override fun deliver() {
        sendBody()
        call.sink.end()
    }

    override fun close() {
        held.release()
    }

    /**
     * Passes the buffer on, which the sink releases, so that nothing of the body stays here. A long one takes no more
     * than it holds, since it may wait for a slow caller and is accounted by its length there.
     */
    private fun sendBody() {
        call.deliverHead(head)
        if (body.writableBytes() > MAXIMUM_SURPLUS_BYTES) body.capacity(body.writerIndex())
        if (body.isReadable) call.sink.content(body)
        body = Unpooled.buffer(0)
        held.release()
    }
}

private fun RelayedCall.deliverHead(head: HttpResponse) {
    if (responseStarted) return
    responseStarted = true
    sink.head(head)
}
