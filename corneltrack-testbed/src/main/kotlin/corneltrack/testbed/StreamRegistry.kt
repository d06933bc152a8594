package corneltrack.testbed

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

private const val STREAM_TTL_MS = 60_000L
private const val STREAM_HEADER = "x-corneltrack-stream"
private val RANGE = Regex("bytes=(\\d+)-")

/** The path below which a resumable engine offers its streams. */
internal const val STREAMS_PATH: String = "/v1/streams/"

/** Keeps the answers of a stand-in engine by the name that the router gave them, to be read on or cancelled. */
internal class StreamRegistry(private val group: EventLoopGroup) {
    private val runs = ConcurrentHashMap<String, GenerationRun>()

    /** Keeps [run] for a while where [request] names its stream. */
    fun register(request: FullHttpRequest, run: GenerationRun) {
        val id = request.headers().get(STREAM_HEADER) ?: return
        runs[id] = run
        group.schedule({ runs.remove(id) }, STREAM_TTL_MS, TimeUnit.MILLISECONDS)
    }

    /** Reads a stream on from a byte, or cancels it. */
    fun onRequest(context: ChannelHandlerContext, request: FullHttpRequest) {
        val run = runs[request.uri().removePrefix(STREAMS_PATH)]
        val from = RANGE.matchEntire(request.headers().get(HttpHeaderNames.RANGE).orEmpty())
        when {
            run == null -> context.respondJson("{}", HttpResponseStatus.NOT_FOUND)
            request.method() == HttpMethod.DELETE -> run.stop { context.respondJson("{}") }
            else -> run.resume(context, from?.groupValues?.get(1)?.toInt() ?: 0)
        }
    }

    /** Forgets all, as a crash does. */
    fun clear() {
        runs.values.forEach { it.stop() }
        runs.clear()
    }
}
