package corneltrack.router.relay

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val REQUESTS = 40

class PacedEndpointTest {
    private val fixture = RelayFixture()

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `a request goes to an endpoint with an idle connection where endpoints state their pace`() {
        val endpoints = pacedEndpoints()
        fixture.start()

        repeat(REQUESTS) { fixture.call("/many/x", id = "request-$it") }

        val connections = endpoints.sumOf { it.connectionCount }
        assertTrue(connections <= REQUESTS / 2, "$connections connections for $REQUESTS requests")
    }

    @Test
    fun `the pace of an endpoint and its age are exported and the explored requests counted`() {
        pacedEndpoints()
        fixture.start()

        repeat(REQUESTS) { fixture.call("/many/x", id = "request-$it") }

        await("the pace to be exported") { "corneltrack_relay_endpoint_pace{" in fixture.metrics() }
        assertContains(fixture.metrics(), "corneltrack_relay_endpoint_pace_age_seconds{")
        assertContains(fixture.metrics(), "corneltrack_relay_explored_requests_total")
    }

    @Test
    fun `the pace of endpoints that state none is not exported`() {
        fixture.endpoint("a", "services") { request, socket -> socket.send(signedResponse(request, "done")) }
        fixture.start()

        fixture.call("/many/x")

        await("the request to be counted") { "corneltrack_relay_requests_total{" in fixture.metrics() }
        assertFalse("corneltrack_relay_endpoint_pace{" in fixture.metrics())
    }

    @Test
    fun `a request waits for a full endpoint and its caller is answered`() {
        val released = CountDownLatch(1)
        val endpoint = fixture.endpoint("a", "services") { request, socket ->
            if (request.id != "first") released.await()
            socket.send(paced(request))
        }
        fixture.start()
        fixture.call("/many/x", id = "first")

        val responses = CopyOnWriteArrayList<String>()
        val callers = (1..6).map { index -> thread { responses += fixture.call("/many/x", id = "request-$index") } }
        await("the slots of the endpoint to be taken") { endpoint.requests.size >= 5 }
        released.countDown()
        callers.forEach { it.join() }

        assertEquals(6, responses.count { it.startsWith("HTTP/1.1 200") }, "$responses")
    }

    private fun paced(request: ReceivedRequest) =
        signedResponse(request, "done").replace("signature: s", "signature: s\r\nload: 1 0 4 1.0")

    private fun pacedEndpoints() = listOf("a", "b", "c").map { name ->
        fixture.endpoint(name, "services") { request, socket ->
            socket.send(paced(request))
        }
    }
}
