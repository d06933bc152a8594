package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.RolloutPhase
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.router.relay.RelayFixture
import corneltrack.router.relay.ScriptedEndpoint
import corneltrack.router.relay.send
import corneltrack.router.relay.signedResponse
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

private const val POOL = "services"
private const val REQUESTS = 100

/** Guards against roll-outs that act in a deployment that did not ask for them. */
class RolloutsOffTest {
    private val fixture = RelayFixture()

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `without the feature orders and statuses change nothing`() {
        val neither = endpoint("a", "v3")
        val status = RolloutStatus(0, "v2", "v1", RolloutPhase.COMPLETED, 1, "other")
        fixture.writeStatus(POOL, status)
        fixture.start()
        fixture.order(POOL, "v2 600000")
        fixture.awaitRecordsRead()

        repeat(REQUESTS) { fixture.call("/once/x") }

        assertEquals(REQUESTS, neither.requests.size, "requests to a version that no status allows")
        assertEquals(status, fixture.status(POOL), "no status is written")
        assertFalse("corneltrack_relay_version" in fixture.metrics(), "no metric by version")
    }

    private fun endpoint(name: String, version: String): ScriptedEndpoint =
        fixture.serviceEndpoint(name, version) { request, socket ->
            socket.send(signedResponse(request, "done"))
        }
}
