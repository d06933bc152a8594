package corneltrack.router.relay.streams

import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.streams.StreamKey
import corneltrack.policy.streams.StreamOrigin
import corneltrack.policy.streams.StreamOrigins
import corneltrack.world.PoolId
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** How far the clocks of two routers may be apart, in ms. */
private const val CLOCK_DIFFERENCE_MS = 2_000L

/** The shortest time between two writes of this router's record, in ms: streams begun since are not known elsewhere. */
private const val MINIMUM_WRITE_INTERVAL_MS = 200L

/** The time between two writes for each router of the fleet, in ms, so that all make no more than 200 a second. */
private const val WRITE_INTERVAL_PER_ROUTER_MS = 5L

/** The step, in ms, in which the end of a mixture is shared, so that a record without new streams changes seldom. */
private const val MIXED_UNTIL_STEP_MS = 1_000L

private fun Long.roundedUp() = (this / MIXED_UNTIL_STEP_MS + 1) * MIXED_UNTIL_STEP_MS

/**
 * Which endpoints a stream that a caller takes up may go on at.
 *
 * @property label the value in logs and metrics.
 */
internal sealed class StreamContinuation(val label: String) {
    /** Only those of [version], which began it. */
    data class At(val version: String) : StreamContinuation("known_version")

    /** All, since the pool is known to have had a single version for as long as a stream can last. */
    data object Anywhere : StreamContinuation("single_version")

    /** None that is known: any could be of another version than the one that began it. */
    data object Unknown : StreamContinuation("unknown_version")
}

/**
 * Says at which version a stream goes on that a caller takes up after it was broken off.
 *
 * Events of two versions do not fit together, and endpoints do not check where a stream began. This router remembers
 * the streams that it passes on. While a pool has several versions, routers share through [records] who began what.
 * Confined to the event loop.
 *
 * @param records null where there is no store to share them through.
 * @param routers returns the number of routers in the fleet.
 * @param storeEra returns the newest known era of the store.
 * @param onTakenUp called with each decision.
 */
internal class StreamControl(
    private val versions: VersionView,
    private val records: StreamRecords?,
    private val clock: Clocks,
    private val routers: () -> Int,
    private val storeEra: () -> StoreEra,
    private val onTakenUp: (StreamContinuation) -> Unit,
) {
    private val streams = StreamOrigins()

    /** Reads what routers have recorded, and begins to record the streams of this router. */
    fun start(loop: EventLoop) {
        load()
        scheduleUpdate(loop)
    }

    /** Reads what routers have recorded. */
    fun load() {
        records?.read { }
    }

    private fun scheduleUpdate(loop: EventLoop) {
        val delayMs = maxOf(MINIMUM_WRITE_INTERVAL_MS, routers() * WRITE_INTERVAL_PER_ROUTER_MS)
        loop.schedule({
            update()
            scheduleUpdate(loop)
        }, delayMs, TimeUnit.MILLISECONDS)
    }

    /** Forgets old streams, and writes the record of this router if a pool has several versions. */
    fun update() {
        streams.expire(clock().wallClockMs)
        val mixed = mixedPools()
        val shared = records ?: return
        shared.expire()
        if (!shared.covers(versions.neededSinceMs(clock().monotonicMs))) load()
        shared.write(streams, mixed, storeEra())
    }

    /** Returns until when streams of several versions can be taken up in each pool, in ms since the epoch. */
    private fun mixedPools(): Map<PoolId, Long> {
        val now = clock()
        val seen = versions.mixedPools(now.monotonicMs).mapValues { (_, leftMs) ->
            (now.wallClockMs + leftMs).roundedUp()
        }
        val read = records?.mixedPools().orEmpty()
        return (seen.keys + read.keys).associateWith { maxOf(seen[it] ?: 0, read[it] ?: 0) }
    }

    /** Records that [stream] began or goes on at [version], and that its caller waits for it for [remainingMs] more. */
    fun onFirstEvent(stream: StreamKey, pool: PoolId, version: String, remainingMs: Long) =
        streams.record(stream, StreamOrigin(pool, version, clock().wallClockMs + remainingMs + CLOCK_DIFFERENCE_MS))

    /** Records that the whole [stream] was delivered. */
    fun onDelivered(stream: StreamKey) = streams.onDelivered(stream, clock().wallClockMs)

    /**
     * Decides at which endpoints of [pool] a stream goes on that a caller takes up, and calls back once, maybe at once.
     *
     * @param stream the stream, or null if the caller does not name it.
     */
    fun onTakeUp(stream: StreamKey?, pool: PoolId, onDecided: (StreamContinuation) -> Unit) {
        val shared = records
        val known = decide(stream, pool)
        if (known == StreamContinuation.Unknown && shared != null) {
            shared.read { finish(decide(stream, pool), onDecided) }
        } else {
            finish(known, onDecided)
        }
    }

    private fun finish(decided: StreamContinuation, onDecided: (StreamContinuation) -> Unit) {
        onTakenUp(decided)
        onDecided(decided)
    }

    private fun decide(stream: StreamKey?, pool: PoolId): StreamContinuation {
        val origin = stream?.let { streams[it] ?: records?.origins?.get(it) }
        // A version that this router has not seen may have begun the stream.
        val seenAll = versions.current && records?.covers(versions.neededSinceMs(clock().monotonicMs)) != false
        return when {
            origin != null -> StreamContinuation.At(origin.version)
            seenAll && pool !in mixedPools() -> StreamContinuation.Anywhere
            else -> StreamContinuation.Unknown
        }
    }
}
