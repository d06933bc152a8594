package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.BadReason
import corneltrack.policy.rollout.RolloutPhase
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.router.relay.PeerDigest
import corneltrack.router.relay.ReceivedRequest
import corneltrack.router.relay.RelayFeatures
import corneltrack.router.relay.RelayFixture
import corneltrack.router.relay.RolloutDigest
import corneltrack.router.relay.ScriptedEndpoint
import corneltrack.router.relay.await
import corneltrack.router.relay.reset
import corneltrack.router.relay.send
import corneltrack.router.relay.signedResponse
import corneltrack.world.PoolId
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val POOL = "services"
private const val REQUESTS = 200
private const val LONG_MS = 600_000L

/** Longer than a trial collects its share before it spends it, as calls of a few ms each. */
private const val MANY_REQUESTS = 4_000
private const val TRIAL_SHARE = 0.08

/** Well above the clock's resolution, as the times of real endpoints are. */
private const val SERVICE_MS = 5L

class RolloutTest {
    private val fixture = RelayFixture(features = RelayFeatures(rollouts = true))

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `the version on trial gets its share and no more, although it looks slow`() {
        val old = endpoint("a", "v1")
        fixture.start()
        repeat(REQUESTS) { fixture.call("/once/x") }
        fixture.order(POOL, "v2 $LONG_MS")
        val new = endpoint("b", "v2")
        await("the trial to begin") { fixture.status(POOL)?.phase == RolloutPhase.TRIAL }

        val before = old.requests.size
        callUntil("some trial requests") { new.requests.size >= 3 }

        val sent = old.requests.size - before + new.requests.size
        assertTrue(new.requests.size <= 1 + TRIAL_SHARE * sent, "${new.requests.size} of $sent requests on trial")
        assertEquals("v1", fixture.status(POOL)?.baseline)
    }

    // Guards against requests to a version that no order allows, by a router that has not read the status yet.
    @Test
    fun `a new version gets nothing before its trial is known to have begun`() {
        endpoint("a", "v1")
        fixture.start()
        fixture.order(POOL, "v2 $LONG_MS")
        fixture.awaitRecordsRead()
        fixture.setStoreUnavailable(true)
        val new = endpoint("b", "v2")

        assertEquals(setOf("200"), List(REQUESTS) { statusOf(fixture.call("/once/x")) }.toSet())
        assertEquals(0, new.requests.size)
    }

    @Test
    fun `a version that fails is rolled back and gets nothing more`() {
        endpoint("a", "v1")
        val new = endpoint("b", "v2") { request, socket ->
            socket.send(signedResponse(request, "broken", "500 Internal Server Error"))
        }
        fixture.order(POOL, "v2 $LONG_MS")
        fixture.start()

        callUntil("the rollback") { fixture.status(POOL)?.phase == RolloutPhase.ROLLED_BACK }
        val sent = new.requests.size
        val statuses = List(REQUESTS) { statusOf(fixture.call("/once/x")) }

        assertEquals(sent, new.requests.size)
        assertEquals(setOf("200"), statuses.toSet())
    }

    @Test
    fun `a good version is shifted to and completed`() {
        val old = endpoint("a", "v1")
        val new = endpoint("b", "v2")
        fixture.order(POOL, "v2 6000")
        fixture.start()

        val statuses = callUntil("the completion") { fixture.status(POOL)?.phase == RolloutPhase.COMPLETED }
        val sent = old.requests.size
        fixture.call("/once/x")

        assertEquals(setOf("200"), statuses)
        assertEquals(sent, old.requests.size)
        assertTrue(new.requests.size > 0)
    }

    @Test
    fun `a router that starts after a completion sends everything to the target`() {
        val old = endpoint("a", "v1")
        val new = endpoint("b", "v2")
        fixture.order(POOL, "v2 $LONG_MS")
        fixture.writeStatus(POOL, status(RolloutPhase.COMPLETED))
        fixture.start()

        repeat(REQUESTS) { fixture.call("/once/x") }

        assertEquals(listOf(0, REQUESTS), listOf(old, new).map { it.requests.size })
    }

    // Guards against a trial that goes on at a router which cannot see the failures that others have seen.
    @Test
    fun `a peer's bad verdict ends the trial of this router and is written`() {
        endpoint("a", "v1")
        val new = endpoint("b", "v2")
        fixture.order(POOL, "v2 $LONG_MS")
        fixture.start()
        await("the trial to begin") { fixture.status(POOL)?.phase == RolloutPhase.TRIAL }
        val orderId = checkNotNull(fixture.status(POOL)).orderId

        val report = RolloutDigest(PoolId(POOL), orderId, RolloutPhase.TRIAL, bad = BadReason.FAILURES)
        fixture.sendDigest(PeerDigest("peer", rollouts = listOf(report)))
        await("the rollback") { fixture.status(POOL)?.phase == RolloutPhase.ROLLED_BACK }
        val sent = new.requests.size
        repeat(REQUESTS) { fixture.call("/once/x") }

        assertEquals(sent, new.requests.size)
    }

    @Test
    fun `an order that is removed before its end is rolled back`() {
        endpoint("a", "v1")
        endpoint("b", "v2")
        fixture.order(POOL, "v2 $LONG_MS")
        fixture.start()
        await("the trial to begin") { fixture.status(POOL)?.phase == RolloutPhase.TRIAL }

        fixture.order(POOL, null)

        await("the rollback") { fixture.status(POOL)?.phase == RolloutPhase.ROLLED_BACK }
    }

    @Test
    fun `a record that is no order, and an order for an unknown pool, change nothing`() {
        val old = endpoint("a", "v1")
        val new = endpoint("b", "v2")
        fixture.order(POOL, "v2")
        fixture.order("unknown", "v2 $LONG_MS")
        fixture.start()
        fixture.awaitRecordsRead()

        repeat(REQUESTS) { fixture.call("/once/x") }

        assertEquals(listOf(null, null), listOf(fixture.status(POOL), fixture.status("unknown")))
        assertEquals(REQUESTS, old.requests.size + new.requests.size)
    }

    // Guards against prompts that are refused because a bad version crashed while it ran them.
    @Test
    fun `the crashes of a version on trial quarantine no request`() {
        endpoint("a", "v1")
        val new = endpoint("b", "v2") { _, socket -> socket.reset() }
        fixture.order(POOL, "v2 $LONG_MS")
        fixture.start()

        val statuses = callUntil("crashes", path = "/many/x") { new.requests.size >= 3 }

        assertEquals(setOf("200"), statuses)
    }

    @Test
    fun `an order whose target is the only version completes at once`() {
        val only = endpoint("a", "v1")
        fixture.start()
        fixture.order(POOL, "v1 $LONG_MS")

        val statuses = callUntil("the completion") { fixture.status(POOL)?.phase == RolloutPhase.COMPLETED }

        assertEquals(setOf("200"), statuses)
        assertTrue(only.requests.size > 0)
    }

    /** Calls until [condition] holds. Returns the status codes of the responses. */
    private fun callUntil(what: String, path: String = "/once/x", condition: () -> Boolean): Set<String> {
        val statuses = HashSet<String>()
        var calls = 0
        while (!condition()) {
            check(calls++ < MANY_REQUESTS) { "$what did not happen within $MANY_REQUESTS calls" }
            statuses += statusOf(fixture.call(path))
        }
        return statuses
    }

    private fun endpoint(
        name: String,
        version: String,
        script: (ReceivedRequest, Socket) -> Unit = ::serve,
    ): ScriptedEndpoint = fixture.serviceEndpoint(name, version, script)

    private fun serve(request: ReceivedRequest, socket: Socket) {
        Thread.sleep(SERVICE_MS)
        socket.send(signedResponse(request, "done"))
    }

    private fun statusOf(response: String) = response.substringAfter(' ').take(3)

    private fun status(phase: RolloutPhase) = RolloutStatus(0, "v2", "v1", phase, System.currentTimeMillis(), "other")
}
