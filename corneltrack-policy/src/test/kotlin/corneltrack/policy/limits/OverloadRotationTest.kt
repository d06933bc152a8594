package corneltrack.policy.limits

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val STEP_MS = 100L
private const val LATE_MS = 300L
private const val IN_TIME_MS = 5L

class OverloadRotationTest {
    private val idlePeers = RotationPeers(routers = 11, idlePeers = 10, outOfRotation = 0, latePeersBefore = 0)
    private val rotation = OverloadRotation(spread = 0.0)
    private var nowMs = 0L

    @Test
    fun `a router that reads late while its peers are idle leaves the rotation`() {
        run(1_000, LATE_MS, idlePeers)

        assertFalse(rotation.inRotation, "the router should be out of rotation after a second of lag")
    }

    @Test
    fun `a single pause takes a router out of rotation for less than a second`() {
        run(2_000, IN_TIME_MS, idlePeers)
        run(200, LATE_MS, idlePeers)
        run(700, IN_TIME_MS, idlePeers)

        assertTrue(rotation.inRotation, "the router should be back in rotation after a pause of 200 ms")
    }

    @Test
    fun `an overload of the whole data centre takes no router out of rotation`() {
        run(5_000, LATE_MS, idlePeers.copy(idlePeers = 0))

        assertTrue(rotation.inRotation, "no peer could take the callers")
    }

    @Test
    fun `a router returns when its peers have been late for a second`() {
        val latePeers = idlePeers.copy(idlePeers = 3)
        run(1_000, LATE_MS, idlePeers)
        run(800, LATE_MS, latePeers)
        assertFalse(rotation.inRotation, "peers that are late for a moment can take the callers again soon")
        run(300, LATE_MS, latePeers)
        assertTrue(rotation.inRotation, "three idle peers of eleven routers cannot take the callers")
    }

    @Test
    fun `a router that hears no peer stays in rotation`() {
        run(5_000, LATE_MS, RotationPeers(routers = 11, idlePeers = 0, outOfRotation = 0, latePeersBefore = 0))
        assertTrue(rotation.inRotation, "the peers' loads are unknown")
    }

    @Test
    fun `the only router of a data centre stays in rotation`() {
        run(5_000, LATE_MS, RotationPeers(routers = 1, idlePeers = 0, outOfRotation = 0, latePeersBefore = 0))
        assertTrue(rotation.inRotation, "there is no other router")
    }

    @Test
    fun `no more routers leave than a quarter of the data centre`() {
        run(5_000, LATE_MS, idlePeers.copy(idlePeers = 8, outOfRotation = 2))
        assertTrue(rotation.inRotation, "two of eleven routers are out already")
        run(STEP_MS, LATE_MS, idlePeers.copy(idlePeers = 9, outOfRotation = 1))
        assertFalse(rotation.inRotation, "one of eleven routers is out")
    }

    @Test
    fun `of several late routers those leave that sort first`() {
        run(5_000, LATE_MS, idlePeers.copy(idlePeers = 8, latePeersBefore = 2))
        assertTrue(rotation.inRotation, "two late peers go before this one")
    }

    @Test
    fun `a router returns once it has read in time for a while`() {
        run(1_000, LATE_MS, idlePeers)
        run(900, IN_TIME_MS, idlePeers)
        assertFalse(rotation.inRotation, "less than a second without lag is too short")
        run(200, IN_TIME_MS, idlePeers)
        assertTrue(rotation.inRotation, "a second without lag is enough")
    }

    @Test
    fun `a pause of a router that is out of rotation does not restart the time to its return`() {
        run(1_000, LATE_MS, idlePeers)
        run(800, IN_TIME_MS, idlePeers)
        run(200, LATE_MS, idlePeers)
        run(700, IN_TIME_MS, idlePeers)

        assertTrue(rotation.inRotation, "the pause ended 700 ms ago and the overload 1.7 s ago")
    }

    @Test
    fun `routers that were late together return at different times`() {
        val returns = listOf(0.0, 1.0).map { spread ->
            val other = OverloadRotation(spread)
            (0L..10_000 step STEP_MS).last { now ->
                other.update(if (now <= 1_000) LATE_MS else IN_TIME_MS, idlePeers, now)
                !other.inRotation
            }
        }

        assertTrue(returns[1] - returns[0] >= 400, "expected returns at least 400 ms apart, found $returns")
    }

    @Test
    fun `a router that is late for ever is out of rotation for an eighth of the time and ten seconds more at most`() {
        var outMs = 0L
        repeat(3_000) {
            run(STEP_MS, LATE_MS, idlePeers)
            if (!rotation.inRotation) outMs += STEP_MS
        }

        assertTrue(outMs <= 300_000 / 8 + 10_000 + STEP_MS, "out of rotation for $outMs ms of 300,000")
    }

    @Test
    fun `a router that wakes after a pause does not count the pause as lag`() {
        run(1_000, IN_TIME_MS, idlePeers)
        nowMs += 8_000
        rotation.update(8_000, idlePeers, nowMs)
        nowMs += STEP_MS
        rotation.update(8_000, idlePeers, nowMs)
        run(1_000, IN_TIME_MS, idlePeers)

        assertTrue(rotation.inRotation, "the router reads in time since it woke")
    }

    private fun run(durationMs: Long, lagMs: Long, peers: RotationPeers) {
        val untilMs = nowMs + durationMs
        while (nowMs < untilMs) {
            nowMs += STEP_MS
            rotation.update(lagMs, peers, nowMs)
        }
    }
}
