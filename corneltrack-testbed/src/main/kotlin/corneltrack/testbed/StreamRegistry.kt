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

/** The path below which a resumable engine serves its streams. */
internal const val STREAMS_PATH: String = "/v1/streams/"

/** Finds the runs of a fake engine by the stream id that the router chose, to resume or cancel their streams. */
internal class StreamRegistry(private val group: EventLoopGroup) {
    private val runs = ConcurrentHashMap<String, GenerationRun>()

    /** Registers [run] for [STREAM_TTL_MS] if [request] carries a stream id. */
    fun register(request: FullHttpRequest, run: GenerationRun) {
        val id = request.headers().get(STREAM_HEADER) ?: return
        runs[id] = run
        group.schedule({ runs.remove(id) }, STREAM_TTL_MS, TimeUnit.MILLISECONDS)
    }

    /** Resumes a stream from the byte that the Range header names, or cancels the stream on DELETE. */
    fun onRequest(context: ChannelHandlerContext, request: FullHttpRequest) {
        val run = runs[request.uri().removePrefix(STREAMS_PATH)]
        val from = RANGE.matchEntire(request.headers().get(HttpHeaderNames.RANGE).orEmpty())
        when {
            run == null -> context.respondJson("{}", HttpResponseStatus.NOT_FOUND)
            request.method() == HttpMethod.DELETE -> run.stop { context.respondJson("{}") }
            else -> run.resume(context, from?.groupValues?.get(1)?.toInt() ?: 0)
        }
    }

    /** Stops and discards all runs, as a crash does. */
    fun clear() {
        runs.values.forEach { it.stop() }
        runs.clear()
    }
}
