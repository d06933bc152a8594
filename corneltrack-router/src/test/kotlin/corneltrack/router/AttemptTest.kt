package corneltrack.router

import corneltrack.policy.AttemptResult
import corneltrack.router.callers.BodyContent
import corneltrack.router.callers.CompactHeaders
import corneltrack.router.callers.Refusal
import corneltrack.router.callers.ResponseSink
import corneltrack.router.relay.ReceivedRequest
import corneltrack.router.relay.ScriptedEndpoint
import corneltrack.router.relay.send
import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.MemberState
import corneltrack.world.Pool
import corneltrack.world.PoolId
import corneltrack.world.PoolKind
import corneltrack.world.WorkspaceId
import io.netty.buffer.ByteBuf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

private const val TIMEOUT_S = 20L
private const val DEADLINE_MS = 60_000L
private const val INTERIM = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"

// Guards against a late second response that reaches the caller of the next request on its connection.
class AttemptTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val connections = EndpointConnections { _, _, _ -> }
    private val usedConnections = ConcurrentHashMap.newKeySet<Socket>()
    private var server: ScriptedEndpoint? = null

    @AfterTest
    fun stop() {
        server?.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a late second response is not the next one of an engine that states request ids`() {
        serve { if (it.requestId == "one") stating("one", "own") else stating("one", "late") + stating("two", "own") }
        assertEquals("200 own", run("one").join())

        val second = run("two")

        assertEquals("", second.join(), "a response to another request was delivered")
        assertIs<AttemptResult.Broken>(second.result.join())
        run("three").join()
        assertEquals(2, usedConnections.size)
    }

    @Test
    fun `engines that state ids of their own, or none, keep their connections`() {
        listOf("x-request-id: engine\r\n", "").forEach { header ->
            usedConnections.clear()
            serve { response(header, "own") }

            assertEquals(List(3) { "200 own" }, List(3) { run("$it").join() })
            assertEquals(1, usedConnections.size, "with '$header'")
        }
    }

    @Test
    fun `an interim response is not the response to a request`() {
        serve { INTERIM + response("", "own") }

        assertEquals(List(2) { "200 own" }, List(2) { run("$it").join() })
        assertEquals(1, usedConnections.size)
    }

    @Test
    fun `a connection that gave two responses is not used again`() {
        serve { response("", "own") + response("", "late") }

        assertEquals(List(2) { "200 own" }, List(2) { run("$it").join() })
        assertEquals(2, usedConnections.size)
    }

    private fun serve(response: (ReceivedRequest) -> String) {
        server?.close()
        server = ScriptedEndpoint { request, socket ->
            usedConnections += socket
            socket.send(response(request))
        }
    }

    private val ReceivedRequest.requestId: String? get() = headers[REQUEST_ID_HEADER]

    private fun stating(id: String, body: String) = response("x-request-id: $id\r\n", body)

    private fun response(headers: String, body: String) =
        "HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n$body"

    /** Runs a repeatable request with [id] once. */
    private fun run(id: String): RecordedAttempt {
        val recorded = RecordedAttempt()
        val pool = Pool(PoolId("pool"), PoolKind.SERVICE, "/pool")
        val headers = DefaultHttpHeaders().set(REQUEST_ID_HEADER, id)
        val request = RoutedRequest(
            RequestIdentity(id, WorkspaceId("workspace"), pool, id),
            RequestTimes(0, DEADLINE_MS),
            idempotent = true,
            OutgoingMessage(HttpMethod.GET, "/", CompactHeaders(headers), BodyContent(ByteArray(0))),
            loop,
            recorded,
        )
        val here = DataCentreId("here")
        val endpoint = Endpoint(EndpointId("a"), pool.id, here, server!!.address, MemberState.LIVE)
        loop.execute { Attempt(request, endpoint, connections, monotonicClock, recorded).start() }
        return recorded
    }
}

/** Records the result of an attempt and what it delivers. */
private class RecordedAttempt : ResponseSink, AttemptListener {
    private val delivered = StringBuilder()
    val result = CompletableFuture<AttemptResult>()
    override val writable: Boolean get() = true

    /** Waits for the end of the attempt and returns the status and the body that it delivered. */
    fun join(): String {
        result.get(TIMEOUT_S, TimeUnit.SECONDS)
        return delivered.toString()
    }

    override fun head(response: HttpResponse) {
        delivered.append(response.status().code()).append(' ')
    }

    override fun content(data: ByteBuf) {
        delivered.append(data.toString(Charsets.UTF_8))
        data.release()
    }

    override fun end() = Unit

    override fun refuse(refusal: Refusal) = error("an attempt refuses nothing")

    override fun abort(reason: String) = error("an attempt aborts nothing")

    override fun onFirstByte() = Unit

    override fun onContent(data: ByteBuf) = Unit

    override fun onResumeFailed() = Unit

    override fun onResumed(offset: Long) = Unit

    override fun onEnd(result: AttemptResult) {
        this.result.complete(result)
    }
}
