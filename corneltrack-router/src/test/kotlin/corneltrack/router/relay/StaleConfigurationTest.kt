package corneltrack.router.relay

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue

class StaleConfigurationTest {
    private val fixture = RelayFixture(RelayBounds(keyAgeMs = 300))

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `a router cut off from the store accepts no key until it knows again`() {
        fixture.endpoint("a", "services") { request, socket -> socket.send(signed(request, "done")) }
        fixture.start()
        val keyed = { fixture.call("/many/keyed/x", headers = "key: key\r\n").substringAfter(' ').take(3) }
        await("the key to be accepted") { keyed() == "200" }

        fixture.silence(true)
        await("the key to be refused") { keyed() == "503" }
        assertTrue(fixture.call("/many/x").startsWith("HTTP/1.1 200"), "a public route is served on")
        await("the router to leave the rotation") { fixture.ready() == 503 }

        fixture.silence(false)
        await("the key to be accepted again") { keyed() == "200" }
        await("the router to be back") { fixture.ready() == 200 }
    }
}
