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
 * Generates the tokens of one request at the engine's pace and writes them to whichever connection reads them.
 *
 * The text is kept, so that a resumable engine can send it again from any byte. Runs on [loop].
 *
 * @param finish frees the place in the batch; returns false where the request is no longer running.
 */
internal class GenerationRun(
    private val loop: EventExecutor,
    private val generation: Generation,
    private val behaviour: EngineBehaviour,
    private val finish: () -> Boolean,
) {
    private val text = StringBuilder()
    private var reader: ChannelHandlerContext? = null
    private var headed = false
    private var sent = 0
    private var stopped = false
    private var complete = false

    fun begin(context: ChannelHandlerContext) {
        reader = context
        if (generation.streamed) {
            after(behaviour.firstTokenMs, ::step)
        } else {
            after(behaviour.firstTokenMs + behaviour.tokenMs * generation.tokens, ::answerWhole)
        }
    }

    /** Lets [context] read the answer from byte [offset] on, instead of any other reader. */
    fun resume(context: ChannelHandlerContext, offset: Int) = loop.execute {
        reader = context
        headed = true
        val head = head(HttpResponseStatus.PARTIAL_CONTENT)
        head.headers().set(HttpHeaderNames.CONTENT_RANGE, "bytes $offset-${Long.MAX_VALUE}/*")
        context.write(head)
        context.writeAndFlush(content(text.substring(offset.coerceAtMost(text.length))))
        if (complete) {
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        }
    }

    /** Generates nothing more and tells [onStopped]. */
    fun stop(onStopped: () -> Unit = {}) = loop.execute {
        stopped = true
        finish()
        onStopped()
    }

    private fun step() {
        if (stopped || !behaviour.resumable && reader?.channel()?.isActive != true) {
            return
        }
        sent++
        write(event("{\"choices\":[{\"delta\":{\"content\":\"${generation.word}-$sent \"}}]}"))
        if (sent < generation.tokens) {
            after(behaviour.tokenMs, ::step)
        } else {
            end(event("[DONE]"))
        }
    }

    private fun answerWhole() {
        if (!stopped) {
            val words = (1..generation.tokens).joinToString(" ") { "${generation.word}-$it" }
            end(
                "{\"choices\":[{\"message\":{\"role\":\"assistant\",\"content\":\"$words\"}}]," +
                    "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":${generation.tokens}}}",
            )
        }
    }

    private fun end(last: String) {
        if (finish()) {
            complete = true
            write(last)
            reader?.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        }
    }

    private fun write(piece: String) {
        text.append(piece)
        val context = reader ?: return
        if (!headed) {
            headed = true
            context.write(head(HttpResponseStatus.OK))
        }
        context.writeAndFlush(content(piece))
    }

    private fun head(status: HttpResponseStatus): DefaultHttpResponse {
        val type = if (generation.streamed) "text/event-stream" else "application/json"
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        head.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, type)
            .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        return head
    }

    private fun after(delayMs: Long, action: () -> Unit) {
        loop.schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }
}

private fun event(data: String): String = "data: $data\n\n"

private fun content(text: String): DefaultHttpContent =
    DefaultHttpContent(Unpooled.copiedBuffer(text, Charsets.UTF_8))
