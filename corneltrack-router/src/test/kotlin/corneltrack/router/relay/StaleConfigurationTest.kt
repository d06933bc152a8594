package corneltrack.router.relay

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StaleConfigurationTest {
    private val fixture = RelayFixture(RelayBounds(maximumKeyAgeMs = 300, maximumViewAgeMs = 300))

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `a router cut off from the store refuses API keys until it has read the store again`() {
        fixture.endpoint("a", "services") { request, socket -> socket.send(signedResponse(request, "done")) }
        fixture.start()
        val statusWithKey = { fixture.call("/many/keyed/x", headers = "key: key\r\n").substringAfter(' ').take(3) }
        await("the key to be accepted") { statusWithKey() == "200" }

        fixture.setStoreUnavailable(true)
        await("the key to be refused") { statusWithKey() == "503" }
        assertTrue(fixture.call("/many/x").startsWith("HTTP/1.1 200"), "a public route is still served")
        await("the router to report that it is not ready") { fixture.readinessStatus() == 503 }

        fixture.setStoreUnavailable(false)
        await("the key to be accepted again") { statusWithKey() == "200" }
        await("the router to be ready again") { fixture.readinessStatus() == 200 }
    }

    // Guards against a router that takes what its old table lacks for what does not exist.
    @Test
    fun `a router cut off from the store does not say that a route is unknown until it has read the store again`() {
        fixture.start()
        val status = { fixture.call("/added/x").substringAfter(' ').take(3) }
        await("the route to be unknown") { status() == "404" }

        fixture.setStoreUnavailable(true)
        await("the router to say that it cannot tell") { status() == "503" }

        fixture.setStoreUnavailable(false)
        await("the route to be unknown again") { status() == "404" }
    }

    // Guards against keys refused as invalid by an old table where keys are accepted while the store is away.
    @Test
    fun `a router that accepts known keys while the store is away does not call others invalid`() {
        val bounds = RelayBounds(failClosed = false, maximumViewAgeMs = 300)
        RelayFixture(bounds).use { open ->
            open.endpoint("a", "services") { request, socket -> socket.send(signedResponse(request, "done")) }
            open.start()
            val status = { key: String ->
                open.call("/many/keyed/x", headers = "key: $key\r\n").substringAfter(' ').take(3)
            }
            await("the other key to be invalid") { status("other") == "401" }

            open.setStoreUnavailable(true)
            await("the router to say that it cannot tell") { status("other") == "503" }
            assertEquals("200", status("key"))
        }
    }
}
