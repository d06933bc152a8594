package corneltrack.router.relay

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue

private const val DIGEST_PERIOD_MS = 50L
private const val READY = 200
private const val NOT_READY = 503
private val IDLE = RouterDigest(lagMs = 2, inRotation = true)
private val LATE = RouterDigest(lagMs = 400, inRotation = true)

/** The readiness checks that an overloaded router answers while its peers are not idle. */
private const val CHECKS = 10

class RotationTest {
    private val fixture = RelayFixture()
    private val digests = Executors.newSingleThreadScheduledExecutor()
    private val peers = List(3) { "peer-$it" }

    @AfterTest
    fun stop() {
        digests.shutdownNow()
        fixture.close()
    }

    @Test
    fun `an overloaded router fails its readiness check while its peers are idle and passes it afterwards`() {
        start()
        report(IDLE)

        fixture.overload { await("the router to leave the rotation") { fixture.readinessStatus() == NOT_READY } }

        await("the router to return") { fixture.readinessStatus() == READY }
    }

    @Test
    fun `an overloaded router stays ready while its peers are overloaded too`() {
        start()
        report(LATE)

        assertStaysReady()
    }

    @Test
    fun `an overloaded router that does not hear its peers stays ready`() {
        start()

        assertStaysReady()
    }

    private fun start() {
        peers.forEach(fixture::announcePeer)
        fixture.start()
    }

    private fun report(load: RouterDigest) {
        val rounds = AtomicInteger()
        digests.scheduleAtFixedRate({
            peers.forEach { fixture.sendDigest(it, load) }
            rounds.incrementAndGet()
        }, 0, DIGEST_PERIOD_MS, TimeUnit.MILLISECONDS)
        await("digests to be sent") { rounds.get() > 2 }
    }

    private fun assertStaysReady() = fixture.overload {
        val statuses = List(CHECKS) { fixture.readinessStatus() }
        assertTrue(statuses.all { it == READY }, "found $statuses")
    }
}
