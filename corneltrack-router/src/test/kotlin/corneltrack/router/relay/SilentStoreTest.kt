package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import io.netty.channel.embedded.EmbeddedChannel
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertTrue

private const val STEP_MS = 10L
private const val RESPONSE_MS = 10L

/** After this time without a disturbance a router is expected to go by the newest records, in ms. */
private const val CONTACT_MS = 4_000L
private const val FIRST_SILENCE_MS = 1_000L
private const val LONGEST_SILENCE_MS = 16_000L
private const val SILENCE_STEP_MS = 130L

/** Follows a topic of a store that is silent for a while: calls that it got meanwhile are never answered. */
class SilentStoreTest {
    private val channel = EmbeddedChannel()
    private var nowMs = 50_000L
    private var silent = false
    private var records = 1L
    private val newest = { KeyedRecord("configuration", byteArrayOf(1), at(records - 1)) }

    // Guards against a router that waits in a long poll on a dead connection while the store serves again.
    @Test
    fun `a router has the newest records within the contact time after a silence, however long that was`() {
        val follower = follower().also { it.start() }
        advance(FIRST_SILENCE_MS)
        val silences = FIRST_SILENCE_MS..LONGEST_SILENCE_MS step SILENCE_STEP_MS
        val late = silences.associateWith { silenceMs ->
            silent = true
            advance(silenceMs)
            records++
            silent = false
            val backMs = nowMs
            while (!follower.end.reaches(at(records)) && nowMs - backMs < LONGEST_SILENCE_MS) advance(STEP_MS)
            (nowMs - backMs).also { advance(LONGEST_SILENCE_MS) }
        }.filterValues { it >= CONTACT_MS }

        assertTrue(late.isEmpty(), "after silences of ms, known after ms: $late")
    }

    private fun follower() = TopicFollower(
        FollowedTopic("operator", topic(), PollTiming(waitMs = 1_500, delayMs = 0)),
        channel.eventLoop(),
        { ClockReading(nowMs, nowMs) },
        rank = { 0 },
    ) { true }

    private fun topic() = KeyedTopic(
        newest = { _, timeoutMs, onResponse ->
            respond(RESPONSE_MS, timeoutMs, onResponse) { TopicResponse.Newest(listOf(newest()), null, at(records)) }
        },
        read = { from, waitMs, timeoutMs, onResponse ->
            respond(if (from.offset < records) RESPONSE_MS else waitMs + RESPONSE_MS, waitMs + timeoutMs, onResponse) {
                TopicResponse.Records(listOf(newest()).filter { from.offset < records }, at(records), at(records))
            }
        },
        write = { _, _, _ -> error("nothing is written") },
    )

    private fun respond(
        delayMs: Long,
        timeoutMs: Long,
        onResponse: (TopicResponse) -> Unit,
        response: () -> TopicResponse,
    ) {
        val onTimeout = { onResponse(TopicResponse.Unavailable("no answer")) }
        if (silent) return after(timeoutMs, onTimeout)
        after(delayMs) {
            // A response that falls into a silence is lost with its connection.
            if (silent) after(timeoutMs - delayMs, onTimeout) else onResponse(response())
        }
    }

    private fun after(delayMs: Long, action: () -> Unit) {
        channel.eventLoop().schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun advance(spanMs: Long) {
        repeat((spanMs / STEP_MS).toInt()) {
            nowMs += STEP_MS
            channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
        }
    }
}
