package corneltrack.router.relay

import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class WarmUpTest {
    private val fixture = RelayFixture()

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `a router that has just started has its code compiled without a request of a caller and sends nothing`() {
        val received = AtomicInteger()
        fixture.endpoint("engine") { _, _ -> received.incrementAndGet() }

        fixture.start()

        await("the warm-up to end") { "corneltrack_relay_warm_up_requests 400.0" in fixture.metrics() }
        assertEquals(0, received.get(), "requests that reached the engine")
        assertFalse("corneltrack_relay_requests_total{" in fixture.metrics(), "a made-up request counts as a caller's")
        assertFalse("admission_refusals_total{" in fixture.metrics(), "a made-up refusal counts as a caller's")
    }

    @Test
    fun `requests of callers are served during the warm-up`() {
        fixture.endpoint("engine", "services") { request, socket -> socket.send(signedResponse(request, "done")) }
        fixture.start()

        repeat(20) { assertContains(fixture.call("/once/x", id = "request-$it"), "200 OK") }
        await("the warm-up to end") { "corneltrack_relay_warm_up_requests 400.0" in fixture.metrics() }
    }
}
