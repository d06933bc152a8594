package corneltrack.router.relay

import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.discovery.TopicPosition
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

private const val LATENCY_MS = 20L
private val FAILURE = TopicResponse.Unavailable("no response")

/** A state of a key, and the time since which it holds; null if the key has no record. */
internal data class KeyState(val sinceMs: Long, val state: String?)

/** How the store treats the calls of a router. */
internal enum class StoreAccess {
    SERVED,
    REFUSED,

    /** The responses arrive when the router is no longer suspended. */
    SUSPENDED,

    /** The process has ended. */
    ENDED,
}

/** Returns the values that a key had at some time since [sinceMs], null for none. */
internal fun List<KeyState>.since(sinceMs: Long): Set<String?> {
    val current = lastOrNull { it.sinceMs <= sinceMs }?.state
    return filter { it.sinceMs > sinceMs }.map { it.state }.toSet() + current
}

/**
 * Simulates a topic of the store on a simulated clock, with long polls, expiry and outages.
 *
 * The value of a record is a state and a sequence number, as in `ready 7`; a record of the same state is a heartbeat.
 */
internal class SimulatedLog(private val loop: EventLoop, private val clock: () -> Long) {
    private class Waiting(val from: TopicPosition, val untilMs: Long, val onResponse: (TopicResponse) -> Unit)

    private val records = ArrayList<KeyedRecord>()
    private val waiting = ArrayList<Waiting>()
    private var oldest = 0L
    private var era = StoreEra(1)
    private val end get() = TopicPosition(era, records.size.toLong())
    var unavailable = false

    /** The calls of all routers to read the topic. */
    var calls = 0

    /** The states of each key, with the times since which they hold. */
    val history = HashMap<String, MutableList<KeyState>>()

    fun put(key: String, state: String?) {
        val value = state?.let { "$it ${records.size}".toByteArray() }
        records += KeyedRecord(key, value, end)
        val states = history.getOrPut(key) { ArrayList() }
        if (states.lastOrNull()?.state != state) states += KeyState(clock(), state)
    }

    /** Deletes the history: of each key only the newest record is kept. */
    fun expire() {
        oldest = records.size.toLong()
    }

    /** Responds to the long polls that are over. */
    fun advance() {
        val ended = waiting.filter { !it.from.reaches(end) || clock() >= it.untilMs }
        waiting.removeAll(ended)
        ended.forEach { it.onResponse(records(it.from)) }
    }

    /** Returns the topic as a router with [access] to it sees it. */
    fun topic(access: () -> StoreAccess) = KeyedTopic(
        newest = { _, timeoutMs, onResponse ->
            respond(timeoutMs, access) { served -> onResponse(if (served) newest() else FAILURE) }
        },
        read = { from, waitMs, timeoutMs, onResponse ->
            respond(timeoutMs, access) { served ->
                if (served && waitMs > 0 && from.reaches(end)) {
                    waiting += Waiting(from, clock() + waitMs) { response -> later(0, access) { onResponse(response) } }
                } else {
                    onResponse(if (served) records(from) else FAILURE)
                }
            }
        },
        write = { _, _, _ -> error("nothing is written") },
    )

    private fun respond(timeoutMs: Long, access: () -> StoreAccess, action: (Boolean) -> Unit) {
        if (access() != StoreAccess.ENDED) calls++
        val served = !unavailable && access() != StoreAccess.REFUSED
        later(if (served) LATENCY_MS else timeoutMs, access) { action(served) }
    }

    private fun later(delayMs: Long, access: () -> StoreAccess, action: () -> Unit) {
        loop.schedule({
            when (access()) {
                StoreAccess.ENDED -> Unit
                StoreAccess.SUSPENDED -> later(LATENCY_MS, access, action)
                else -> action()
            }
        }, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun newest(): TopicResponse {
        val newest = records.groupBy { it.key }.values.map { it.last() }.filter { it.value != null }
        return TopicResponse.Newest(newest, null, end)
    }

    private fun records(from: TopicPosition): TopicResponse = when {
        era.isAfter(from.era) -> TopicResponse.NewEra(era)
        from.offset < oldest -> TopicResponse.Expired
        else -> TopicResponse.Records(records.drop(from.offset.toInt()), end, end)
    }
}
