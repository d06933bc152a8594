package corneltrack.router.relay

import corneltrack.policy.discovery.ClockEchoes
import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.EraTracker
import corneltrack.policy.discovery.isDigestDue
import corneltrack.wire.wireProtobuf
import io.netty.channel.embedded.EmbeddedChannel
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.assertTrue

private const val STEP_MS = 10L
private const val TICK_MS = 100L
private const val HEARTBEAT_MS = 1_000L
private const val SILENCE_MS = 1_500L
private const val MAXIMUM_READING_ROUTERS = 8
private const val ANNOUNCE_RETRY_MS = 1_000L
private const val MAXIMUM_DELAY_MS = 30
private const val SLOW_DELAY_MS = 1_000

/** By how much the monotonic clocks of two processes differ, in ms. */
private const val MONOTONIC_ORIGIN_MS = 10_000_000L

/** The peers that one digest of a router's load, which carries its stamp, goes to. */
private const val STAMPED_PEERS = 6
private const val STAMP_RANGE = 1L shl 40
private const val MAXIMUM_DATAGRAM_BYTES = 16_384

/** The age below which a router takes its copy for current, in ms. */
private const val CURRENT_AGE_MS = 2_400L

/** The time after which a router that takes its copy for current must know what was written, in ms. */
private const val KNOWN_AFTER_MS = 3_000L

/**
 * How the simulated network treats datagrams.
 *
 * @property slowRouter the index of the router whose incoming datagrams take from 1 to 2 s; null for none.
 */
internal data class Network(
    val lossRate: Double = 0.0,
    val repetitionRate: Double = 0.0,
    val delayMs: Int = 2,
    val slowRouter: Int? = null,
)

internal val UNRELIABLE = Network(lossRate = 0.2, repetitionRate = 0.2, delayMs = MAXIMUM_DELAY_MS)

/**
 * What a router took for current although something else had been written long before.
 *
 * @property proof by what the router took it for current, and where it knew the key from.
 */
internal class Outdated(val what: String, val proof: String)

/** A call to the store, or the announcement of a router. */
internal data class StoreCall(val topic: String, val cause: String)

/**
 * Simulates the routers of a region that follow the store's topics and send each other datagrams.
 *
 * Checks all the time that no router's state claims to be fresher than it is; after the store came back from a copy,
 * [outdated] and [setBacks] state what is wrong.
 */
internal class RegionSimulation(
    count: Int,
    private val shares: Boolean,
    private val network: Network = Network(),
    private val endpoints: Int = 20,
    seed: Int = 1,
    answers: StoreAnswers = StoreAnswers(),
) {
    private class Datagram(val dueMs: Long, val to: Int, val bytes: ByteArray)

    private val random = Random(seed)

    /** Of its own, so that stamps don't change in which order watermarks arrive. */
    private val stampRandom = Random(seed)
    private val channel = EmbeddedChannel().apply { freezeTime() }
    private val datagrams = ArrayList<Datagram>()
    private val logs =
        listOf("operator", "endpoints", "peers").associateWith { SimulatedLog(channel.eventLoop(), answers, ::nowMs) }
    private var incarnations = 0
    private var processes = 0

    /**
     * While a stamp arrives, when it does within the step of the clock, so that its way takes what [Network] says and
     * not the whole step; the bound by an echo is as much tighter, which [checkAges] judges.
     */
    private var stampArrivalMs: Long? = null
    var nowMs = 50_000L
        private set

    /** By how much the wall clocks of routers are ahead of the true time, in ms, by index. */
    val wallClocksAheadMs = HashMap<Int, Long>()

    /** The indexes of the routers that neither send nor return stamps and skip both in what they receive. */
    val oldRouters = HashSet<Int>()

    /** Called before each step of the clock. */
    var onStep: () -> Unit = {}

    /** Called with each datagram to a router; returns those to deliver in its place. */
    var intercept: (to: Int, ByteArray) -> List<ByteArray> = { _, bytes -> listOf(bytes) }
    val calls = HashMap<StoreCall, Int>()
    var largestDatagram = 0

    /** The bytes of the datagrams that routers sent with watermarks. */
    var sentBytes = 0L
    val operatorLog = logs.getValue("operator")
    val endpointLog = logs.getValue("endpoints")
    val peerLog = logs.getValue("peers")

    /** The calls of all routers to read the topics. */
    val reads: Int get() = logs.values.sumOf { it.calls }

    /** The records that routers took from peers. */
    var taken = 0

    /** The states that routers showed although they had shown newer ones. */
    val setBacks = ArrayList<String>()
    private var returned = false

    inner class Router(val index: Int) {
        val id = "router-${(index + 10)}"
        var access = StoreAccess.SERVED
        val running get() = access == StoreAccess.SERVED || access == StoreAccess.REFUSED
        var lastSentMs = nowMs
        val states = logs.mapValues { HashMap<String, String>() }
        private val eras = EraTracker()
        private val incarnation = incarnations++
        private var lastCause: StoreCallCause? = null

        /** The latest version of each key that this router has shown, by topic. */
        private val shown = logs.mapValues { HashMap<String, Int>() }

        /** The keys whose state changed since the last call of [show], by topic. */
        private val touched = logs.mapValues { HashSet<String>() }

        /** The loads that began because the store came back, by topic. */
        val eraLoads = HashMap<String, Int>()
        private val sharing = RecordSharing(
            { shares && states.getValue("peers").size > MAXIMUM_READING_ROUTERS },
            { topic, cause ->
                lastCause = cause
                if (access != StoreAccess.ENDED) count(StoreCall(topic, cause.name))
            },
            { _, records -> taken += records },
        )
        val followers = listOf(
            follower("operator", PollTiming(waitMs = 1_500, delayMs = 0), sharing.disabled()),
            follower("endpoints", PollTiming(waitMs = 0, delayMs = 1_000), sharing),
            follower("peers", PollTiming(waitMs = 10_000, delayMs = 500), sharing),
        )
        private val originMs = MONOTONIC_ORIGIN_MS * processes++
        private var ticks = 0L
        val exchange = WatermarkExchange(::reading, ClockEchoes(stampRandom.nextLong(1, STAMP_RANGE))) { followers }

        /** Whether this router is of a version that knows no stamps. */
        private val old get() = index in oldRouters

        private fun reading(): ClockReading {
            val atMs = stampArrivalMs ?: nowMs
            return ClockReading(atMs - originMs, atMs + (wallClocksAheadMs[index] ?: 0))
        }

        fun follower(name: String) = followers.first { it.name == name }

        private fun follower(name: String, timing: PollTiming, sharing: RecordSharing): TopicFollower {
            val topic = logs.getValue(name).topic(eras) { access }
            val counted = KeyedTopic(
                newest = { after, timeoutMs, onResponse ->
                    if (after == null && lastCause == StoreCallCause.NEW_ERA) eraLoads.merge(name, 1, Int::plus)
                    topic.newest(after, timeoutMs, onResponse)
                },
                read = topic.read,
                write = topic.write,
            )
            val followed = FollowedTopic(name, counted, timing, onLoaded = { if (name == "peers") announceAgain() })
            return TopicFollower(followed, channel.eventLoop(), ::reading, ::rank, sharing) { record ->
                val known = states.getValue(name)
                val state = record.value?.let(::stateOf)
                val previous = if (state == null) known.remove(record.key) else known.put(record.key, state)
                if (previous != state) touched.getValue(name) += record.key
                previous != state
            }
        }

        /** Records which versions this router shows now; what it shows within a step of the clock nobody sees. */
        fun show() = logs.filterKeys { it != "peers" }.forEach { (topic, log) ->
            val versions = shown.getValue(topic)
            touched.getValue(topic).forEach { key ->
                val state = states.getValue(topic)[key]
                val last = versions[key] ?: -1
                val history = log.history.getValue(key)
                val version = history.indices.firstOrNull { it >= last && history[it].state == state }
                if (version != null) versions[key] = version
                if (version == null) setBacks += "$id at $nowMs: $key went from ${history[last].state} to $state"
            }
            touched.getValue(topic).clear()
        }

        private fun announceAgain() {
            val follower = follower("peers")
            when {
                access == StoreAccess.ENDED || follower.records.isRecorded(id, follower.end.era) -> Unit
                access == StoreAccess.SERVED && !peerLog.unavailable -> peerLog.put(id, "here$incarnation")
                else -> channel.eventLoop().schedule(::announceAgain, ANNOUNCE_RETRY_MS, TimeUnit.MILLISECONDS)
            }
        }

        /** Whether the store lost the state of a key that this router never knew, and nobody can tell it yet. */
        private fun cannotKnow(topic: String, key: String): Boolean {
            val loss = logs.getValue(topic).losses[key] ?: return false
            val written = loss.writtenMs
            return (shown.getValue(topic)[key] ?: -1) < loss.version &&
                (written == null || nowMs - written <= KNOWN_AFTER_MS)
        }

        /** Returns what this router takes for current in [topic] although it has been something else for long. */
        fun outdated(topic: String): List<Outdated> {
            val ageMs = follower(topic).ageMs
            if (ageMs == null || ageMs >= CURRENT_AGE_MS) return emptyList()
            val known = states.getValue(topic)
            return logs.getValue(topic).history.filter { (key, history) ->
                known[key] !in history.since(nowMs - KNOWN_AFTER_MS) && !cannotKnow(topic, key)
            }.map { (key, history) ->
                val position = follower(topic).records.of(key, nowMs)?.position
                Outdated(
                    "$id: $key of $topic is ${known[key]}, not ${history.last()}",
                    "age $ageMs, ${follower(topic).confirmation}, key known at $position",
                )
            }
        }

        private fun rank() = routers.count { it.index < index && nowMs - it.lastSentMs < SILENCE_MS }

        fun tick() {
            exchange.alignEras()
            lastSentMs = nowMs
            val peers = routers.filter { it.index != index }
            val stamp = wireProtobuf.encodeToByteArray(PeerDigest(id, stamp = exchange.stamp()))
            val tick = ticks++
            peers.filterIndexed { place, _ -> isDigestDue(tick, place, peers.size, STAMPED_PEERS, interval = 1) }
                .forEach { if (!old) send(it.index, stamp, stampRandom) }
            exchange.dueDigests(id).forEach { digest ->
                val bytes = wireProtobuf.encodeToByteArray(digest)
                peers.forEach { peer ->
                    val sent = if (old) bytes else bytes.withEcho(exchange.echo(peer.id))
                    largestDatagram = maxOf(largestDatagram, sent.size)
                    sentBytes += sent.size
                    send(peer.index, sent)
                }
            }
        }

        fun onDatagram(bytes: ByteArray, arrivalMs: Long = nowMs) {
            val received = wireProtobuf.decodeFromByteArray<PeerDigest>(bytes)
            val digest = if (old) received.copy(stamp = 0, echo = null) else received
            val listed = digest.sender in states.getValue("peers")
            stampArrivalMs = arrivalMs.takeIf { digest.watermarks.isEmpty() }
            exchange.onPeer(digest, listed)
            stampArrivalMs = null
        }

        fun start() {
            followers.forEach { it.start() }
            peerLog.put(id, "here$incarnation")
            count(StoreCall("peers", "ANNOUNCEMENT"))
        }
    }

    val routers: MutableList<Router> = ArrayList()

    init {
        operatorLog.put("table", "one")
        repeat(endpoints) { endpointLog.put("endpoint-$it", "ready") }
        repeat(count) { routers += Router(it) }
        routers.forEach { it.start() }
        advance(15_000)
        calls.clear()
        sentBytes = 0
        logs.values.forEach { it.calls = 0 }
        taken = 0
    }

    private fun count(call: StoreCall) {
        calls[call] = (calls[call] ?: 0) + 1
    }

    fun restart(index: Int) {
        routers[index].access = StoreAccess.ENDED
        routers[index] = Router(index).also { it.start() }
    }

    /** Has the whole store take the copy from which [restore] comes back. */
    fun takeCopy() = logs.values.forEach { it.takeCopy() }

    /** Has the whole store come back from its copy; see [SimulatedLog.restore]. */
    fun restore(dropsPolls: Boolean) {
        returned = true
        logs.values.forEach { it.restore(dropsPolls) }
    }

    fun setUnavailable(unavailable: Boolean) = logs.values.forEach { it.unavailable = unavailable }

    fun change(key: String, state: String?) = endpointLog.put(key, state)

    fun advance(spanMs: Long) {
        repeat((spanMs / STEP_MS).toInt()) {
            nowMs += STEP_MS
            onStep()
            beat()
            channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
            logs.values.forEach { it.advance() }
            deliver()
            routers.filter { it.running && (nowMs + it.index * STEP_MS) % TICK_MS == 0L }.forEach { it.tick() }
            routers.forEach { it.show() }
            if (nowMs % TICK_MS == 0L && !returned) checkAges()
        }
    }

    private fun beat() = repeat(endpoints) { endpoint ->
        val key = "endpoint-$endpoint"
        val due = (nowMs + endpoint * HEARTBEAT_MS / endpoints / STEP_MS * STEP_MS) % HEARTBEAT_MS == 0L
        val state = endpointLog.history.getValue(key).last().state
        if (due && state != null && !endpointLog.unavailable) endpointLog.put(key, state)
    }

    private fun send(to: Int, bytes: ByteArray, random: Random = this.random) = intercept(to, bytes).forEach { sent ->
        val copies = if (random.nextDouble() < network.repetitionRate) 2 else 1
        repeat(copies) {
            val lost = random.nextDouble() < network.lossRate
            val slowMs = if (to == network.slowRouter) SLOW_DELAY_MS + random.nextInt(SLOW_DELAY_MS) else 0
            if (!lost) datagrams += Datagram(nowMs + 1 + random.nextInt(network.delayMs) + slowMs, to, sent)
        }
    }

    /** Datagrams wait at a router that is suspended. */
    private fun deliver() {
        val due = datagrams.filter { it.dueMs <= nowMs && routers[it.to].access != StoreAccess.SUSPENDED }
            .sortedBy { it.dueMs }
        datagrams.removeAll(due.toSet())
        due.forEach { routers[it.to].takeIf(Router::running)?.onDatagram(it.bytes, it.dueMs) }
    }

    private fun checkAges() =
        routers.filter { it.running }.forEach { router -> logs.keys.forEach { checkAge(router, it) } }

    /** Each key must have a state that it had at some time within the age that the router states. */
    private fun checkAge(router: Router, topic: String) {
        val ageMs = router.follower(topic).ageMs ?: return
        logs.getValue(topic).history.forEach { (key, history) ->
            val state = router.states.getValue(topic)[key]
            val allowed = history.since(nowMs - ageMs)
            val stated = "${router.id} at $nowMs, $topic $ageMs ms old"
            assertTrue(state in allowed, "$stated: $key is $state, not in $allowed")
        }
    }

    /** Checks that all routers have the states of the store. */
    fun assertConverged() = assertTrue(differences().isEmpty(), differences().joinToString())

    /** Returns what routers that run do not know yet. */
    fun differences(): List<String> = routers.filter { it.running }.flatMap { router ->
        listOf("operator", "endpoints").flatMap { topic ->
            val states = router.states.getValue(topic)
            logs.getValue(topic).history.filter { (key, history) -> states[key] != history.last().state }
                .map { (key, history) -> "${router.id}: $key is ${states[key]}, not ${history.last().state}" }
        }
    }

    /** Returns what routers that run take for current although it has been something else for long. */
    fun outdated(): List<Outdated> = routers.filter { it.running }.flatMap { router ->
        listOf("operator", "endpoints").flatMap(router::outdated)
    }

    /** Checks that no datagram was too large. */
    fun assertDatagramsFit() = assertTrue(largestDatagram <= MAXIMUM_DATAGRAM_BYTES, "$largestDatagram bytes")
}
