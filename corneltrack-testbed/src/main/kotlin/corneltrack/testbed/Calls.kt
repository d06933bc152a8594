package corneltrack.testbed

import corneltrack.world.WorkspaceId
import io.netty.handler.codec.http.HttpMethod

/** Returns a chat completion request whose response has [tokens] tokens, each of which repeats [word]. */
public fun chat(
    workspace: WorkspaceId,
    word: String,
    tokens: Int,
    stream: Boolean = true,
    headers: Map<String, String> = emptyMap(),
): Call = Call(
    HttpMethod.POST,
    "/v1/chat/completions",
    "{\"model\":\"$DRAFTS\",\"stream\":$stream,\"max_tokens\":$tokens," +
        "\"messages\":[{\"role\":\"user\",\"content\":\"$word please\"}]}",
    mapOf("authorization" to "Bearer ${apiKey(workspace)}") + headers,
)

/** Returns a request of the plain service that is not idempotent; [body] identifies it in the counts of runs. */
public fun order(workspace: WorkspaceId, body: String, headers: Map<String, String> = emptyMap()): Call =
    Call(HttpMethod.POST, "/orders/new", body, mapOf("authorization" to "Bearer ${apiKey(workspace)}") + headers)

/** Whether this is a complete stream of exactly [tokens] tokens, in order, that all repeat [word]. */
public fun CallResult.isExpectedStream(word: String, tokens: Int): Boolean {
    val expected = (1..tokens).map { "$word-$it " }
    val found = TOKEN.findAll(body).map { it.groupValues[1] }.toList()
    return complete && body.endsWith("data: [DONE]\n\n") && found == expected
}

private val TOKEN = Regex("\"content\":\"([^\"]*)\"")
