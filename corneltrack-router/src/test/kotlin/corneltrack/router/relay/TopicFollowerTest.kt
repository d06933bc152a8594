package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.TopicWatermark
import io.netty.channel.embedded.EmbeddedChannel
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val STEP_MS = 10L
private const val POLL_DELAY_MS = 1_000L
private const val WATERMARK_INTERVAL_MS = 250L

/** The age of a router's state while it receives watermarks, with 100 ms for the steps of the simulated clock. */
private const val MAXIMUM_AGE_MS = POLL_DELAY_MS + WATERMARK_INTERVAL_MS + 100

class TopicFollowerTest {
    private val channel = EmbeddedChannel()
    private val store = FakeStore()
    private var nowMs = 50_000L
    private var rank = 1
    private val applied = ArrayList<String>()

    /** The polling router, whose watermarks [advance] passes on to [follower] while [pollerAlive]. */
    private var poller = follower { 0 }

    /** The router under test. */
    private val follower = follower { rank }
    private var pollerAlive = true

    @Test
    fun `a router that receives watermarks keeps its state fresh without calling the store`() {
        startBoth()
        val calls = store.calls

        advance(20_000)

        assertTrue(
            store.calls - calls <= 22,
            "${store.calls - calls} calls in 20 s, allowed are 22: one router polls each second",
        )
        assertTrue(ageMs() <= MAXIMUM_AGE_MS, "age ${ageMs()} ms, at most $MAXIMUM_AGE_MS ms allowed")
    }

    @Test
    fun `a change announced by a watermark is read at once`() {
        startBoth()
        store.put("endpoint", "leaving")

        advance(POLL_DELAY_MS + WATERMARK_INTERVAL_MS + 50)

        assertEquals("leaving", applied.last())
    }

    @Test
    fun `a record on which its handler fails does not end the following of others`() {
        store.put("other", "odd")
        startBoth()
        store.put("odd-one", "odd")
        advance(POLL_DELAY_MS * 2)
        store.put("endpoint", "leaving")

        advance(POLL_DELAY_MS + WATERMARK_INTERVAL_MS + 50)

        assertEquals("leaving", applied.last())
    }

    @Test
    fun `heartbeats are read by the polling router only`() {
        startBoth()
        val before = applied.size

        repeat(10) {
            store.put("endpoint", "heartbeat")
            advance(500)
        }

        assertEquals(before, applied.size, "number of records read by the router that does not poll")
        assertTrue(ageMs() <= MAXIMUM_AGE_MS, "age ${ageMs()} ms, at most $MAXIMUM_AGE_MS ms allowed")
    }

    @Test
    fun `when the polling router stops the next one takes over`() {
        startBoth()
        pollerAlive = false
        store.put("endpoint", "leaving")

        advance(2_000)

        assertEquals("leaving", applied.last())
        assertNotNull(follower.watermark, "the new polling router sends watermarks")
        advance(10_000)
        assertTrue(ageMs() <= 1_700, "age ${ageMs()} ms, at most 1700 ms allowed")
    }

    @Test
    fun `a router whose calls the store refuses stays as fresh as its peers`() {
        startBoth()
        store.refuses = { it === follower }

        advance(10_000)

        assertTrue(ageMs() <= MAXIMUM_AGE_MS, "age ${ageMs()} ms, at most $MAXIMUM_AGE_MS ms allowed")
    }

    @Test
    fun `the state of a router that cannot read an announced change ages`() {
        startBoth()
        store.refuses = { it === follower }
        store.put("endpoint", "leaving")

        advance(5_000)

        assertTrue(ageMs() >= 4_000, "age ${ageMs()} ms, at least 4000 ms expected")
    }

    @Test
    fun `a delayed watermark does not make the state look fresher`() {
        startBoth()
        pollerAlive = false
        val delayedWatermark = assertNotNull(poller.watermark)
        store.refuses = { it === follower }

        advance(4_000)
        follower.onWatermark(delayedWatermark)

        assertTrue(ageMs() >= 4_000, "age ${ageMs()} ms, at least 4000 ms expected")
    }

    @Test
    fun `a router far behind loads the newest records instead of reading all missed ones`() {
        startBoth()
        repeat(1_000) { store.put("endpoint", "heartbeat") }
        store.put("endpoint", "leaving")
        val fullLoads = store.fullLoads

        advance(POLL_DELAY_MS + WATERMARK_INTERVAL_MS + 50)

        assertEquals("leaving", applied.last())
        assertEquals(fullLoads + 1, store.fullLoads)
    }

    @Test
    fun `a store that turns away one router and serves its peer has had no outage`() {
        startBoth()
        store.refuses = { it === follower }
        store.put("endpoint", "leaving")
        advance(9_000)

        store.refuses = { false }
        advance(2_000)

        assertEquals("leaving", applied.last())
        assertNull(follower.storeRecoveredMs, "the recovery of a store that served the polling router all along")
    }

    @Test
    fun `a router that the store served ignores the outage that a peer reports`() {
        startBoth()
        val watermark = assertNotNull(poller.watermark)

        deliver(watermark.copy(storeRecoveredAgeMs = 10))

        assertNull(follower.storeRecoveredMs)
    }

    @Test
    fun `all routers learn when a store that served none of them recovers`() {
        startBoth()
        store.refuses = { true }
        advance(5_000)
        val recoveredMs = nowMs

        store.refuses = { false }
        advance(2_000)

        listOf(poller, follower).forEach {
            assertTrue(assertNotNull(it.storeRecoveredMs) in recoveredMs..nowMs, "found ${it.storeRecoveredMs}")
        }
    }

    @Test
    fun `a router that started after an outage takes its end from a peer`() {
        startBoth()
        val watermark = assertNotNull(poller.watermark)
        val recoveredBeforeStartMs = 5_000L

        deliver(watermark.copy(storeRecoveredAgeMs = recoveredBeforeStartMs))

        assertEquals(nowMs - recoveredBeforeStartMs, follower.storeRecoveredMs)
    }

    @Test
    fun `a page of a topic that ends before what was read removes no key`() {
        listOf("first", "second").forEach { store.put(it, it) }
        startBoth()
        repeat(1_000) { store.put("endpoint", "heartbeat") }
        store.put("endpoint", "leaving")
        store.strayPage = TopicResponse.Newest(emptyList(), next = null, end = at(2))

        advance(POLL_DELAY_MS * 2)
        store.strayPage = null
        advance(POLL_DELAY_MS * 2)

        assertEquals(listOf("first", "second", "ready", "leaving"), applied)
    }

    // Guards against a removal that a router never learns of since its restarted peer never knew the key.
    @Test
    fun `a removal that a restarted polling router cannot know of is read`() {
        startBoth()
        pollerAlive = false
        store.remove("endpoint")
        poller = follower { 0 }
        poller.start()
        pollerAlive = true

        advance(POLL_DELAY_MS + WATERMARK_INTERVAL_MS + 50)

        assertEquals("removed", applied.last())
    }

    private fun startBoth() {
        store.put("endpoint", "ready")
        poller.start()
        follower.start()
        advance(2_000)
    }

    private fun ageMs() = ClockReading(nowMs, nowMs).since(assertNotNull(follower.asOf))

    private fun advance(spanMs: Long) {
        repeat((spanMs / STEP_MS).toInt()) {
            nowMs += STEP_MS
            channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
            if (nowMs % WATERMARK_INTERVAL_MS == 0L && pollerAlive) deliver(poller.watermark)
        }
    }

    private fun deliver(watermark: TopicWatermark?) {
        watermark?.let(follower::onWatermark)
    }

    private fun follower(rank: () -> Int): TopicFollower {
        lateinit var follower: TopicFollower
        follower = TopicFollower(
            FollowedTopic("endpoints", store.topic { follower }, PollTiming(waitMs = 0, delayMs = POLL_DELAY_MS)),
            channel.eventLoop(),
            { ClockReading(nowMs, nowMs) },
            rank,
        ) { record ->
            val text = record.value?.let { String(it) } ?: "removed"
            check(text != "odd") { "a record that its handler fails on" }
            if (follower === this.follower) applied += text
            text != "heartbeat"
        }
        return follower
    }
}

/** Fakes the platform's store: responds at once, with a failure to the followers that [refuses] selects. */
private class FakeStore {
    private val records = ArrayList<KeyedRecord>()
    private val end get() = at(records.size.toLong())
    var calls = 0
    var fullLoads = 0
    var refuses: (TopicFollower) -> Boolean = { false }

    /** The response to each load of the newest records, in place of its own, or null. */
    var strayPage: TopicResponse? = null

    fun put(key: String, value: String) {
        records += KeyedRecord(key, value.toByteArray(), end)
    }

    fun remove(key: String) {
        records += KeyedRecord(key, null, end)
    }

    fun topic(caller: () -> TopicFollower) = KeyedTopic(
        newest = { _, _, onResponse -> respond(caller, onResponse) { newest() } },
        read = { from, _, _, onResponse -> respond(caller, onResponse) { recordsFrom(from.offset) } },
        write = { _, _, _ -> error("nothing is written") },
    )

    private fun newest(): TopicResponse {
        fullLoads++
        strayPage?.let { return it }
        val newest = records.groupBy { it.key }.map { it.value.last() }.filter { it.value != null }
        return TopicResponse.Newest(newest, null, end)
    }

    private fun recordsFrom(from: Long): TopicResponse {
        return TopicResponse.Records(records.drop(from.toInt()), end, end)
    }

    private fun respond(
        caller: () -> TopicFollower,
        onResponse: (TopicResponse) -> Unit,
        response: () -> TopicResponse,
    ) {
        calls++
        onResponse(if (refuses(caller())) TopicResponse.Unavailable("refused") else response())
    }
}
