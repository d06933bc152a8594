package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.rollout.RolloutPhase
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.router.monotonicClock
import corneltrack.router.relay.ConditionalWrite
import corneltrack.router.relay.FakeTopic
import corneltrack.router.relay.FollowedKeyedTopic
import corneltrack.router.relay.FollowedTopic
import corneltrack.router.relay.PollTiming
import corneltrack.router.relay.TopicFollower
import corneltrack.router.relay.at
import corneltrack.router.relay.await
import corneltrack.router.wallClock
import corneltrack.world.PoolId
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.Callable
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

private const val TIMEOUT_S = 10L

/** Long, so that only a read on demand follows a write in time. */
private const val POLL_DELAY_MS = 3_600_000L

class StatusWriterTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val topic = FakeTopic(loop)
    private val clock = { ClockReading(monotonicClock(), wallClock()) }
    private val timing = PollTiming(waitMs = 0, delayMs = POLL_DELAY_MS)
    private val follower = TopicFollower(FollowedTopic("peers", topic.topic, timing), loop, clock, { 1 }) { true }
    private val followed = FollowedKeyedTopic(topic.topic, follower)
    private val records = RolloutRecords(
        { _, _, _ -> RolloutOrderRecord.Invalid("") },
        { null },
        { it.value },
        { null },
        { it.phase.name.toByteArray() },
    )
    private val statuses = TopicConfirmation(followed, clock)
    private val writer = StatusWriter(followed, statuses, records, monotonicClock)

    init {
        loop.execute(follower::start)
        await("the topic to be read") { onLoop { follower.asOf != null } }
    }

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a status is written where the topic ends`() {
        assertEquals(ConditionalWrite.Written(at(0)), write(RolloutPhase.TRIAL))
        await("the own record to be read") { onLoop { writer.ready } }
        assertEquals(ConditionalWrite.Written(at(1)), write(RolloutPhase.SHIFTING))
        assertEquals("SHIFTING", topic.newest("pool"))
    }

    // Guards against a decision by a router that has not read what another has decided meanwhile.
    @Test
    fun `after a conflict the topic is read on first`() {
        topic.put("pool", "ROLLED_BACK")

        assertIs<ConditionalWrite.Conflict>(write(RolloutPhase.COMPLETED))
        await("the other record to be read") { onLoop { writer.ready } }

        assertEquals("ROLLED_BACK", topic.newest("pool"))
        assertEquals(at(1), onLoop { follower.end })
    }

    // Guards against a second decision while the first may still be executed.
    @Test
    fun `after a write of unknown result the topic is read again first`() {
        topic.unavailable = true
        assertIs<ConditionalWrite.Unknown>(write(RolloutPhase.COMPLETED))
        assertEquals(false, onLoop { writer.ready })

        topic.unavailable = false
        await("a later read") { onLoop { writer.ready } }

        assertTrue(onLoop { follower.end == at(0) })
    }

    // Guards against a topic that counts as read to its end because its own record was read.
    @Test
    fun `a record that was read already confirms nothing`() {
        val confirmed = onLoop { follower.confirmation }
        await("a later time") { monotonicClock() > checkNotNull(confirmed).asOf.monotonicMs }

        onLoop { statuses.readTo(follower.end) }

        assertEquals(confirmed, onLoop { follower.confirmation })
    }

    private fun write(phase: RolloutPhase): ConditionalWrite {
        val result = CompletableFuture<ConditionalWrite>()
        val status = RolloutStatus(1, "v2", "v1", phase, 0, "router")
        loop.execute { writer.write(PoolId("pool"), status) { result.complete(it) } }
        return result.get(TIMEOUT_S, TimeUnit.SECONDS)
    }

    private fun <T> onLoop(action: () -> T): T = loop.submit(Callable { action() }).get(TIMEOUT_S, TimeUnit.SECONDS)
}
