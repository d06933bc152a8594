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
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.util.concurrent.TimeUnit

private const val DEFAULT_TOKENS = 16

/** One request at a stand-in engine. */
internal class Generation(val prompt: String, val tokens: Int, val streamed: Boolean) {
    /** The first word of the prompt, which each token of the answer repeats. */
    val word: String get() = prompt.substringBefore(' ')
}

internal fun parseGeneration(request: FullHttpRequest): Generation {
    val body = Json.parseToJsonElement(request.content().toString(Charsets.UTF_8)).jsonObject
    val messages = body["messages"]?.jsonArray.orEmpty()
    val prompt = messages.lastOrNull()?.jsonObject?.get("content")?.jsonPrimitive?.content.orEmpty()
    val tokens = body["max_tokens"]?.jsonPrimitive?.intOrNull ?: DEFAULT_TOKENS
    return Generation(prompt, tokens, body["stream"]?.jsonPrimitive?.booleanOrNull ?: false)
}

/**
 * Writes the tokens of one generation at the engine's pace.
 *
 * @param finish frees the place in the batch; returns false where the request is no longer running.
 */
internal class GenerationRun(
    private val context: ChannelHandlerContext,
    private val generation: Generation,
    private val behaviour: EngineBehaviour,
    private val finish: () -> Boolean,
) {
    private var sent = 0

    fun begin() {
        if (generation.streamed) {
            after(behaviour.firstTokenMs, ::step)
        } else {
            after(behaviour.firstTokenMs + behaviour.tokenMs * generation.tokens, ::answerWhole)
        }
    }

    private fun step() {
        if (!context.channel().isActive) {
            return
        }
        if (sent == 0) {
            writeHead()
        }
        sent++
        context.writeAndFlush(event("{\"choices\":[{\"delta\":{\"content\":\"${generation.word}-$sent \"}}]}"))
        if (sent < generation.tokens) {
            after(behaviour.tokenMs, ::step)
        } else if (finish()) {
            context.write(event("[DONE]"))
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        }
    }

    private fun writeHead() {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        head.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
            .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        context.write(head)
    }

    private fun answerWhole() {
        if (finish()) {
            val text = (1..generation.tokens).joinToString(" ") { "${generation.word}-$it" }
            context.answerJson(
                "{\"choices\":[{\"message\":{\"role\":\"assistant\",\"content\":\"$text\"}}]," +
                    "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":${generation.tokens}}}",
            )
        }
    }

    private fun after(delayMs: Long, action: () -> Unit) {
        context.executor().schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun event(data: String): DefaultHttpContent =
        DefaultHttpContent(Unpooled.copiedBuffer("data: $data\n\n", Charsets.UTF_8))
}
