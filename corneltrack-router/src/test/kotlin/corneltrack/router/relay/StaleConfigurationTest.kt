package corneltrack.router.relay

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue

class StaleConfigurationTest {
    private val fixture = RelayFixture(RelayBounds(maximumKeyAgeMs = 300))

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
}
