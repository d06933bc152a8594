package corneltrack.router.relay.streams

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.EndpointDirectory
import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.streams.MAXIMUM_STREAM_AGE_MS
import corneltrack.policy.streams.StreamKey
import corneltrack.router.relay.KeyedRecord
import corneltrack.router.relay.KeyedTopic
import corneltrack.router.relay.TopicResponse
import corneltrack.router.relay.at
import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.MemberState
import corneltrack.world.PoolId
import corneltrack.world.routing.EndpointEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val UPDATE_MS = 200L

/** By how much later the end of a mixture may be shared, in ms. */
private const val SHARED_STEP_MS = 1_000L
private val POOL = PoolId("engines")
private val STREAM = StreamKey(7)

/** Checks which streams go on where, in a fleet whose routers share one store in memory and one clock. */
class StreamControlTest {
    private val store = HashMap<String, ByteArray>()
    private val directory = EndpointDirectory(graceMs = 0)
    private var nowMs = 1_000_000L
    private var storeCalls = 0
    private var storeDown = false
    private val views = HashMap<String, VersionView>()
    private var list = ListCurrency(current = true, seenSinceMs = nowMs)

    private val topic = KeyedTopic(
        newest = { _, _, onResponse ->
            storeCalls++
            val records = store.map { (key, value) -> KeyedRecord(key, value, at(0)) }
            onResponse(if (storeDown) TopicResponse.Unavailable("down") else TopicResponse.Newest(records, null, at(1)))
        },
        read = { _, _, _, _ -> error("the newest records are enough") },
        write = { key, value, onDone ->
            storeCalls++
            if (!storeDown) if (value == null) store.remove(key) else store[key] = value
            onDone(!storeDown)
        },
    )

    @Test
    fun `a stream is taken up at its version at another router`() {
        list("a" to "old", "b" to "new")
        val first = router("first")
        val second = router("second")
        first.begin(STREAM, "old")
        pass(first, second)

        assertEquals(StreamContinuation.At("old"), second.takeUp(STREAM))
    }

    // Guards against streams joined from two versions after all routers have lost what they knew.
    @Test
    fun `after all routers have restarted, a stream goes on at its version, and an unknown one nowhere`() {
        list("a" to "old", "b" to "new")
        val before = listOf("first", "second").map(::router)
        before[0].begin(STREAM, "old")
        pass(before[0], before[1])

        val after = listOf("first", "second").map(::router)

        after.forEach { assertEquals(StreamContinuation.At("old"), it.takeUp(STREAM)) }
        after.forEach { assertEquals(StreamContinuation.Unknown, it.takeUp(StreamKey(8))) }
        after.forEach { assertEquals(StreamContinuation.Unknown, it.takeUp(null)) }
    }

    @Test
    fun `a restarted router keeps what its earlier process recorded when it writes anew`() {
        list("a" to "old", "b" to "new")
        val before = router("first")
        before.begin(STREAM, "old")
        pass(before)
        val after = router("first")
        after.begin(StreamKey(8), "new")
        pass(after)

        assertEquals(StreamContinuation.At("old"), router("second").takeUp(STREAM))
        assertEquals(StreamContinuation.At("new"), router("third").takeUp(StreamKey(8)))
    }

    // Guards against streams of a version that has just left, after a restart of all routers that know of it.
    @Test
    fun `an unknown stream goes on nowhere after a restart while the version that left could have begun it`() {
        list("a" to "old", "b" to "new")
        val before = router("first")
        pass(before)
        unlist("a")
        pass(before)

        assertEquals(StreamContinuation.Unknown, router("first").takeUp(STREAM))
        nowMs += MAXIMUM_STREAM_AGE_MS + SHARED_STEP_MS
        assertEquals(StreamContinuation.Anywhere, router("first").takeUp(STREAM))
    }

    @Test
    fun `streams that began before a second version came are taken up at the first`() {
        list("a" to "old")
        val first = router("first")
        val second = router("second")
        first.begin(STREAM, "old")
        pass(first, second)
        assertTrue(store.isEmpty(), "no store is needed for one version")
        list("b" to "new")
        pass(first, second)

        assertEquals(StreamContinuation.At("old"), second.takeUp(STREAM))
    }

    // Guards against streams joined from two versions at a router that was out of step while the second one joined.
    @Test
    fun `a router whose list of endpoints is not current lets unknown streams go on nowhere`() {
        list("a" to "old")
        val router = router("first")
        router.begin(STREAM, "old")
        pass(router)
        list = list.copy(current = false)

        assertEquals(StreamContinuation.Unknown, router.takeUp(StreamKey(8)))
        assertEquals(StreamContinuation.At("old"), router.takeUp(STREAM))
        list = list.copy(current = true)
        assertEquals(StreamContinuation.Anywhere, router.takeUp(StreamKey(8)))
    }

    // Guards against a version that came and went while a router could not see it.
    @Test
    fun `a router that had to load the list again goes by what others have seen since`() {
        list("a" to "old")
        val router = router("first")
        nowMs += 2 * MAXIMUM_STREAM_AGE_MS
        pass(router)
        store["second"] = StreamTable.of(emptyMap(), mapOf(POOL to nowMs + MAXIMUM_STREAM_AGE_MS)).encode()
        list = ListCurrency(current = true, seenSinceMs = nowMs)

        assertEquals(StreamContinuation.Unknown, router.takeUp(STREAM))
        storeDown = true
        list = list.copy(seenSinceMs = nowMs + 1)
        assertEquals(StreamContinuation.Unknown, router.takeUp(STREAM))
    }

    @Test
    fun `a version that came and went between two updates counts`() {
        list("a" to "old")
        val router = router("first")
        val endpoint = directory.endpoints.getValue(EndpointId("a"))
        views.getValue("first").onListed(endpoint.copy(entry = endpoint.entry.copy(version = "new")), nowMs)

        assertEquals(StreamContinuation.Unknown, router.takeUp(STREAM))
    }

    @Test
    fun `with a single version streams go on anywhere without the store`() {
        list("a" to "old", "b" to "old")
        val router = router("first")
        pass(router)
        storeCalls = 0
        storeDown = true

        assertEquals(StreamContinuation.Anywhere, router.takeUp(STREAM))
        pass(router)
        assertEquals(0, storeCalls)
    }

    @Test
    fun `a mixed pool without new streams needs a write a second at most`() {
        list("a" to "old", "b" to "new")
        val router = router("first")
        storeCalls = 0

        repeat(50) { pass(router) }

        assertTrue(storeCalls <= 11, "found $storeCalls calls in 10 s")
    }

    // Guards against records that the store refuses for their size.
    @Test
    fun `the record of many streams fits into the store and has those begun last`() {
        list("a" to "old", "b" to "new")
        val router = router("first")
        (1L..20_000L).forEach { router.begin(StreamKey(Long.MAX_VALUE - it), "old") }
        pass(router)

        assertTrue(store.getValue("first").size <= 262_144, "found ${store.getValue("first").size} bytes")
        assertEquals(StreamContinuation.At("old"), router("second").takeUp(StreamKey(Long.MAX_VALUE - 20_000)))
    }

    @Test
    fun `without the store an unknown stream goes on nowhere while there are two versions`() {
        list("a" to "old", "b" to "new")
        storeDown = true
        val router = router("first")
        router.begin(STREAM, "new")

        assertEquals(StreamContinuation.Unknown, router.takeUp(StreamKey(8)))
        assertEquals(StreamContinuation.At("new"), router.takeUp(STREAM))
    }

    private fun router(name: String): StreamControl {
        val clock = { ClockReading(nowMs, nowMs) }
        val view = VersionView(directory) { list }
        views[name] = view
        val records = StreamRecords(InstanceId(name), topic, clock)
        return StreamControl(view, records, clock, { 1 }, { StoreEra.UNSTATED }, {}).also { it.load() }
    }

    private fun StreamControl.begin(stream: StreamKey, version: String) =
        onFirstEvent(stream, POOL, version, remainingMs = 10_000)

    private fun StreamControl.takeUp(stream: StreamKey?): StreamContinuation {
        val decided = ArrayList<StreamContinuation>()
        onTakeUp(stream, POOL) { decided += it }
        return decided.single()
    }

    private fun pass(vararg routers: StreamControl) {
        nowMs += UPDATE_MS
        routers.forEach { it.update() }
    }

    private fun list(vararg versions: Pair<String, String>) = versions.forEach { (name, version) ->
        val endpoint = Endpoint(EndpointId(name), POOL, DataCentreId("here"), "127.0.0.1:1", MemberState.LIVE)
        directory.onEntry(EndpointEntry(endpoint, nowMs, 1, 4, coldStartRemainingMs = 0, version), nowMs)
    }

    private fun unlist(name: String) = directory.onRemoved(EndpointId(name), storeRecoveredMs = null, nowMs)
}
