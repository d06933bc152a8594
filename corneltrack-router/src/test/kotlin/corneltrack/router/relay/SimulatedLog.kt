package corneltrack.router.relay

import corneltrack.policy.discovery.EraObservation
import corneltrack.policy.discovery.EraTracker
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
 * How the store answers.
 *
 * @property pageSize the keys on a page of the newest records.
 * @property answerDelayMs returns how long an answer is under way, in ms.
 * @property asksAtOnce whether a long poll from a position of an older era is answered at once. Otherwise it waits, as
 *   the store knows only the offset.
 */
internal class StoreAnswers(
    val pageSize: Int = Int.MAX_VALUE,
    val answerDelayMs: () -> Long = { 0 },
    val asksAtOnce: Boolean = true,
)

/**
 * What the store lost of a key.
 *
 * @property version the index of the lost state in the history of the key.
 * @property writtenMs when the key was written again; null if it was not yet.
 */
internal class Loss(val version: Int, var writtenMs: Long? = null)

/**
 * Simulates a topic of the store on a simulated clock, with long polls, expiry, outages and returns from a copy.
 *
 * The value of a record is a state and a sequence number, as in `ready 7`; a record of the same state is a heartbeat.
 */
internal class SimulatedLog(
    private val loop: EventLoop,
    private val answers: StoreAnswers = StoreAnswers(),
    private val clock: () -> Long,
) {
    private class Waiting(val from: TopicPosition, val untilMs: Long, val onAnswer: (Answer) -> Unit)

    /** What the store sends, with the era that it states. */
    private class Answer(val era: StoreEra, val response: TopicResponse)

    private class Copy(val size: Int, val oldest: Long)

    private val records = ArrayList<KeyedRecord>()
    private val waiting = ArrayList<Waiting>()
    private var oldest = 0L
    private var era = StoreEra(1)
    private var copy = Copy(0, 0)
    private val end get() = TopicPosition(era, records.size.toLong())
    var unavailable = false

    /** The calls of all routers to read the topic. */
    var calls = 0

    /** The states of each key that the store acknowledged, with the times since which they hold. */
    val history = HashMap<String, MutableList<KeyState>>()

    /** What the store lost last of each key, also what was written again since. */
    val losses = HashMap<String, Loss>()
    private val values = HashMap<String, ByteArray?>()

    fun put(key: String, state: String?) {
        val value = state?.let { "$it ${records.size}".toByteArray() }
        append(key, value)
        val states = history.getOrPut(key) { ArrayList() }
        if (states.lastOrNull()?.state != state) states += KeyState(clock(), state)
    }

    /** Writes the newest value of a key again. */
    fun putAgain(key: String) = append(key, values[key])

    private fun append(key: String, value: ByteArray?) {
        records += KeyedRecord(key, value, end)
        values[key] = value
        losses[key]?.let { if (it.writtenMs == null) it.writtenMs = clock() }
    }

    /** Deletes the history: of each key only the newest record is kept. */
    fun expire() {
        oldest = records.size.toLong()
    }

    /** Takes the copy from which [restore] comes back. */
    fun takeCopy() {
        copy = Copy(records.size, oldest)
    }

    /**
     * Comes back from the copy: what was written since is gone, and the era rises.
     *
     * @param dropsPolls whether the connections of pending long polls break.
     */
    fun restore(dropsPolls: Boolean) {
        era = StoreEra(era.number + 1)
        val removed = records.drop(copy.size).filter { it.value == null }.map { it.key }.toSet()
        val kept = records.take(copy.size).map { KeyedRecord(it.key, it.value, it.position.copy(era = era)) }
        records.clear()
        records += kept
        oldest = copy.oldest
        val states = records.associate { record -> record.key to record.value?.let(::stateOf) }
        history.forEach { (key, known) ->
            val state = known.last().state
            val open = losses[key]?.let { it.writtenMs == null } == true
            val removalLost = state == null && key in removed
            if (open || removalLost || states[key] != state) losses[key] = Loss(known.lastIndex)
        }
        if (dropsPolls) {
            val dropped = waiting.toList()
            waiting.clear()
            dropped.forEach { it.onAnswer(Answer(StoreEra.UNSTATED, FAILURE)) }
        }
    }

    /** Responds to the long polls that are over. */
    fun advance() {
        val ended = waiting.filter { !waits(it.from) || clock() >= it.untilMs }
        waiting.removeAll(ended)
        ended.forEach { it.onAnswer(Answer(era, records(it.from))) }
    }

    private fun waits(from: TopicPosition) =
        from.offset >= end.offset && (from.era == era || !answers.asksAtOnce)

    /**
     * Returns the topic as a router with [access] to it sees it.
     *
     * @param eras the eras that the router has heard of.
     */
    fun topic(eras: EraTracker = EraTracker(), access: () -> StoreAccess) = KeyedTopic(
        newest = { after, timeoutMs, onResponse ->
            respond(timeoutMs, access) { served ->
                deliver(access, if (served) Answer(era, newest(after)) else null) { onResponse(it.believed(eras)) }
            }
        },
        read = { from, waitMs, timeoutMs, onResponse ->
            respond(timeoutMs, access) { served ->
                if (served && waitMs > 0 && waits(from)) {
                    waiting += Waiting(from, clock() + waitMs) { answer ->
                        later(0, access) { deliver(access, answer) { onResponse(it.believed(eras)) } }
                    }
                } else {
                    deliver(access, if (served) Answer(era, records(from)) else null) { onResponse(it.believed(eras)) }
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

    private fun deliver(access: () -> StoreAccess, answer: Answer?, action: (Answer) -> Unit) {
        val made = answer ?: Answer(StoreEra.UNSTATED, FAILURE)
        val delayMs = answers.answerDelayMs()
        if (delayMs > 0) later(delayMs, access) { action(made) } else action(made)
    }

    /** As the client of the store does it: an answer of an era that has ended is none. */
    private fun Answer.believed(eras: EraTracker): TopicResponse = when {
        response === FAILURE -> response
        eras.observe(era) is EraObservation.Ended -> TopicResponse.Unavailable("an answer of era $era")
        else -> response
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

    private fun newest(after: String?): TopicResponse {
        val newest = records.groupBy { it.key }.values.map { it.last() }.filter { it.value != null }
        if (newest.size <= answers.pageSize && after == null) return TopicResponse.Newest(newest, null, end)
        val rest = newest.filter { after == null || it.key > after }.sortedBy { it.key }
        val page = rest.take(answers.pageSize)
        return TopicResponse.Newest(page, page.lastOrNull()?.key?.takeIf { rest.size > page.size }, end)
    }

    private fun records(from: TopicPosition): TopicResponse = when {
        era.isAfter(from.era) -> TopicResponse.NewEra(era)
        from.offset < oldest -> TopicResponse.Expired
        else -> TopicResponse.Records(records.drop(from.offset.toInt()), end, end)
    }
}

/** Returns the state in the value of a record. */
internal fun stateOf(value: ByteArray): String = String(value).substringBefore(' ')
