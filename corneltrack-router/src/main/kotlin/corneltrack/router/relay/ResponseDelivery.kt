package corneltrack.router.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse

private const val MAXIMUM_BUFFERED_BYTES = 1024 * 1024

/** Takes the body of one endpoint's answer on its way to the caller. */
internal interface ResponseDelivery : AutoCloseable {
    /** Takes a piece of the body; does not release it. Returns false where the body cannot be an answer. */
    fun onContent(data: ByteBuf): Boolean

    /** Sends on what is left of a complete answer, and its end. */
    fun deliver()
}

/**
 * Passes events on as they come.
 *
 * The head goes out with the first event, so that a request whose endpoint breaks off before can still get another
 * answer. Events that the caller has already are left out.
 *
 * @param onEvent runs at each event of the endpoint.
 */
internal class EventStreamDelivery(
    private val call: RelayedCall,
    private val head: HttpResponse,
    private val onEvent: () -> Unit,
) : ResponseDelivery {
    private val events = EventSplitter()
    private val resumeAfterId = call.lastEventId?.toLongOrNull()

    override fun onContent(data: ByteBuf): Boolean {
        events.feed(data).forEach(::forward)
        return !events.tooLong
    }

    override fun deliver() {
        call.deliverHead(head)
        if (events.hasPartialEvent) call.sink.content(events.takePartialEvent())
        call.sink.end()
    }

    override fun close() = events.close()

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
 * Keeps a body until it is complete, so that one that breaks off reaches nobody.
 *
 * A body past the buffer's limit is passed on as it comes from there on.
 */
internal class BufferedDelivery(private val call: RelayedCall, private val head: HttpResponse) : ResponseDelivery {
    private val body: ByteBuf = Unpooled.buffer(0)

    override fun onContent(data: ByteBuf): Boolean {
        body.writeBytes(data, data.readerIndex(), data.readableBytes())
        if (call.responseStarted || body.readableBytes() > MAXIMUM_BUFFERED_BYTES) sendBody()
        return true
    }

    override fun deliver() {
        sendBody()
        call.sink.end()
    }

    override fun close() = Unit

    private fun sendBody() {
        call.deliverHead(head)
        if (body.isReadable) call.sink.content(body.readBytes(body.readableBytes()))
    }
}

private fun RelayedCall.deliverHead(head: HttpResponse) {
    if (responseStarted) return
    responseStarted = true
    sink.head(head)
}
