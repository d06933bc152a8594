package corneltrack.wire

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

private const val DEFAULT_CONNECTIONS = 1_024
private const val DEFAULT_HEAD_LINES = 256
private const val DEFAULT_BODY_BYTES = 16 * 1024 * 1024

/** Up to so many undecoded bytes a connection is still read, so that the disconnect of its client is seen. */
private const val UNDECODED_BYTES_READ = 2_048

/**
 * Limits what the clients of a [ControlServer] may take of the process.
 *
 * @property connections the connections that may be open at once; the first one opened without a request gives way.
 * @property headLines the maximum number of lines in a head.
 * @property bodyBytes the maximum size of a request body, in bytes.
 */
public data class ControlLimits(
    val connections: Int = DEFAULT_CONNECTIONS,
    val headLines: Int = DEFAULT_HEAD_LINES,
    val bodyBytes: Int = DEFAULT_BODY_BYTES,
)

/**
 * The open connections of a control server, in the order of their opening.
 *
 * Where there are too many, the first one without a request in progress closes, so that clients that connect and send
 * nothing keep nobody out. Thread-safe.
 */
internal class ControlConnections(private val maximum: Int) {
    private val serving = LinkedHashMap<Channel, () -> Boolean>()

    /** Records [channel]; [isServing] tells whether it has a request in progress. */
    fun onOpened(channel: Channel, isServing: () -> Boolean) {
        synchronized(serving) { serving[channel] = isServing }
        channel.closeFuture().addListener { synchronized(serving) { serving.remove(channel) } }
        surplus()?.close()
    }

    private fun surplus(): Channel? = synchronized(serving) {
        if (serving.size <= maximum) return null
        val first = serving.entries.firstOrNull { !it.value() }?.key ?: serving.keys.last()
        first.also { serving.remove(it) }
    }
}

/** Holds back the requests of one connection until the response to the one before has been written. */
internal class ControlGate(private val channel: Channel) : DecoderGate {
    /** Whether a request is in progress. */
    @Volatile
    var serving: Boolean = false
        private set

    /** Whether the request in progress is a HEAD request, whose response has no body. */
    var answersHead: Boolean = false
        private set

    override val open: Boolean get() = !serving

    override fun onHeldBack(bytes: Int) {
        if (bytes > UNDECODED_BYTES_READ) channel.config().isAutoRead = false
    }

    override fun onHeadCost(costBytes: Int): Unit = Unit

    /** Records that a request with [method] is complete. */
    fun onRequest(method: HttpMethod) {
        answersHead = method == HttpMethod.HEAD
        serving = true
    }

    /** Records that its response has been written, so that the next request is decoded. */
    fun onResponseWritten() {
        serving = false
        val decoder = channel.pipeline().context(GatedRequestDecoder::class.java) ?: return
        channel.eventLoop().execute {
            if (!channel.isActive || serving) return@execute
            (decoder.handler() as GatedRequestDecoder).channelRead(decoder, Unpooled.EMPTY_BUFFER)
            if (open) channel.config().isAutoRead = true
        }
    }
}

/** Encodes the responses of one connection. */
internal class ControlResponseEncoder(private val gate: ControlGate) : HttpResponseEncoder() {
    override fun isContentAlwaysEmpty(message: HttpResponse): Boolean =
        gate.answersHead || super.isContentAlwaysEmpty(message)
}
