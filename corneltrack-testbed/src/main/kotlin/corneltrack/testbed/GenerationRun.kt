package corneltrack.testbed

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.EventExecutor
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.util.concurrent.TimeUnit

private const val DEFAULT_TOKENS = 16

/** Holds the parsed body of a chat completion request. */
internal class GenerationRequest(val prompt: String, val tokens: Int, val streamed: Boolean) {
    /** The first word of the prompt, which each token of the response repeats. */
    val word: String get() = prompt.substringBefore(' ')
}

internal fun parseGenerationRequest(request: FullHttpRequest): GenerationRequest {
    val body = Json.parseToJsonElement(request.content().toString(Charsets.UTF_8)).jsonObject
    val messages = body["messages"]?.jsonArray.orEmpty()
    val prompt = messages.lastOrNull()?.jsonObject?.get("content")?.jsonPrimitive?.content.orEmpty()
    val tokens = body["max_tokens"]?.jsonPrimitive?.intOrNull ?: DEFAULT_TOKENS
    return GenerationRequest(prompt, tokens, body["stream"]?.jsonPrimitive?.booleanOrNull ?: false)
}

/**
 * Generates the tokens of one request at the rate of [behaviour] and writes them to the connection that reads them.
 *
 * Retains the generated text, so that a resumable engine can resume the stream from any byte. Runs on [loop].
 *
 * @param releaseSlot releases the batch slot; returns false if the request is no longer running.
 */
internal class GenerationRun(
    private val loop: EventExecutor,
    private val request: GenerationRequest,
    private val behaviour: EngineBehaviour,
    private val releaseSlot: () -> Boolean,
) {
    private val text = StringBuilder()
    private var reader: ChannelHandlerContext? = null
    private var headSent = false
    private var tokensSent = 0
    private var stopped = false
    private var complete = false

    fun start(context: ChannelHandlerContext) {
        reader = context
        if (request.streamed) {
            schedule(behaviour.prefillMs, ::generateToken)
        } else {
            schedule(behaviour.prefillMs + behaviour.decodeMsPerToken * request.tokens, ::completeResponse)
        }
    }

    /** Sends the response from byte [offset] on to [context], which replaces the previous reader. */
    fun resume(context: ChannelHandlerContext, offset: Int) = loop.execute {
        reader = context
        headSent = true
        val responseHead = responseHead(HttpResponseStatus.PARTIAL_CONTENT)
        responseHead.headers().set(HttpHeaderNames.CONTENT_RANGE, "bytes $offset-${Long.MAX_VALUE}/*")
        context.write(responseHead)
        context.writeAndFlush(content(text.substring(offset.coerceAtMost(text.length))))
        if (complete) {
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        }
    }

    /** Stops generating, releases the batch slot and calls [onStopped]. */
    fun stop(onStopped: () -> Unit = {}) = loop.execute {
        stopped = true
        releaseSlot()
        onStopped()
    }

    private fun generateToken() {
        if (stopped || !behaviour.resumable && reader?.channel()?.isActive != true) {
            return
        }
        tokensSent++
        write(event("{\"choices\":[{\"delta\":{\"content\":\"${request.word}-$tokensSent \"}}]}"))
        if (tokensSent < request.tokens) {
            schedule(behaviour.decodeMsPerToken, ::generateToken)
        } else {
            completeWith(event("[DONE]"))
        }
    }

    private fun completeResponse() {
        if (!stopped) {
            val words = (1..request.tokens).joinToString(" ") { "${request.word}-$it" }
            completeWith(
                "{\"choices\":[{\"message\":{\"role\":\"assistant\",\"content\":\"$words\"}}]," +
                    "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":${request.tokens}}}",
            )
        }
    }

    private fun completeWith(last: String) {
        if (releaseSlot()) {
            complete = true
            write(last)
            reader?.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        }
    }

    private fun write(piece: String) {
        text.append(piece)
        val context = reader ?: return
        if (!headSent) {
            headSent = true
            context.write(responseHead(HttpResponseStatus.OK))
        }
        context.writeAndFlush(content(piece))
    }

    private fun responseHead(status: HttpResponseStatus): DefaultHttpResponse {
        val type = if (request.streamed) "text/event-stream" else "application/json"
        val responseHead = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        responseHead.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, type)
            .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        return responseHead
    }

    private fun schedule(delayMs: Long, action: () -> Unit) {
        loop.schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }
}

private fun event(data: String): String = "data: $data\n\n"

private fun content(text: String): DefaultHttpContent =
    DefaultHttpContent(Unpooled.copiedBuffer(text, Charsets.UTF_8))
