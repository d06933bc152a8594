package corneltrack.router.relay

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val ROUTERS = 20
private const val SPAN_MS = 60_000L
private const val CHANGES = 20

/** The simulated time within which routers must know that an endpoint drains. */
private const val DRAIN_LIMIT_MS = 4_000L

/** Counts the calls of 20 routers of a region to the store in a simulated minute, by cause. */
class StoreCallsTest {
    /** @property unsharedReads the reads of routers that share no records, as measured when polls were last changed. */
    private class Scenario(val name: String, val unsharedReads: Int, val run: RegionSimulation.() -> Unit)

    private class Result(val calls: Map<StoreCall, Int>, val reads: Int, val sentBytes: Long)

    private val scenarios = listOf(
        Scenario("at rest", unsharedReads = 149) { advance(SPAN_MS) },
        Scenario("an endpoint changes each 500 ms", unsharedReads = 1_270) { changeEach(500) },
        Scenario("history expires each 3 s", unsharedReads = 188) {
            onStep = { if (nowMs % 3_000 == 0L) endpointLog.expire() }
            advance(SPAN_MS)
        },
        Scenario("history expires each 3 s, a change each 500 ms", unsharedReads = 2_012) {
            changeEach(500) { if (nowMs % 3_000 == 0L) endpointLog.expire() }
        },
        Scenario("all restart within 2 s", unsharedReads = 398) {
            repeat(ROUTERS) {
                restart(it)
                advance(100)
            }
            advance(SPAN_MS - 2_000)
        },
        Scenario("the first router restarts", unsharedReads = 209) {
            restart(0)
            advance(SPAN_MS)
        },
        Scenario("the first router is suspended for 3 s", unsharedReads = 155) {
            routers[0].access = StoreAccess.SUSPENDED
            advance(3_000)
            routers[0].access = StoreAccess.SERVED
            advance(SPAN_MS - 3_000)
        },
        Scenario("the store refuses the first router for 20 s", unsharedReads = 167) {
            routers[0].access = StoreAccess.REFUSED
            advance(20_000)
            routers[0].access = StoreAccess.SERVED
            advance(SPAN_MS - 20_000)
        },
        Scenario("an outage of 5 s", unsharedReads = 296) {
            setUnavailable(true)
            advance(5_000)
            setUnavailable(false)
            advance(SPAN_MS - 5_000)
        },
    )

    @Test
    fun `sharing records reduces the calls to the store`() {
        scenarios.forEach { scenario ->
            val before = run(scenario, shares = false)
            val after = run(scenario, shares = true)
            report(scenario.name, before, after)
            assertEquals(scenario.unsharedReads, before.reads, "${scenario.name}: reads without sharing")
            val (callsBefore, callsAfter) = listOf(before, after).map { it.calls.values.sum() }
            assertTrue(callsAfter <= callsBefore, "${scenario.name}: $callsBefore calls, $callsAfter with sharing")
        }
    }

    @Test
    fun `a change is known within the limit while datagrams are lost`() = listOf(false, true).forEach { shares ->
        val region = RegionSimulation(ROUTERS, shares, UNRELIABLE)
        val knownAfterMs = (0 until CHANGES).map { region.knownAfterMs("endpoint-$it") }.sorted()
        val (median, maximum) = knownAfterMs[CHANGES / 2] to knownAfterMs.last()
        println("STORE-CALLS | known, ms, sharing $shares | median and most | $median | $maximum |")
        assertTrue(maximum < DRAIN_LIMIT_MS, "known after $maximum ms")
    }

    /** Returns the simulated time until all routers know that the endpoint [key] drains. */
    private fun RegionSimulation.knownAfterMs(key: String): Long {
        advance(730)
        val changedMs = nowMs
        change(key, "draining")
        while (differences().isNotEmpty() && nowMs - changedMs < DRAIN_LIMIT_MS) advance(10)
        return nowMs - changedMs
    }

    private fun run(scenario: Scenario, shares: Boolean): Result {
        val region = RegionSimulation(ROUTERS, shares)
        scenario.run(region)
        region.onStep = {}
        region.assertDatagramsFit()
        val result = Result(HashMap(region.calls), region.reads, region.sentBytes)
        region.advance(4_000)
        region.assertConverged()
        return result
    }

    private fun report(name: String, before: Result, after: Result) {
        println("STORE-CALLS | $name | all | ${before.calls.values.sum()} | ${after.calls.values.sum()} |")
        println("STORE-CALLS | $name | watermark bytes | ${before.sentBytes} | ${after.sentBytes} |")
        (before.calls.keys + after.calls.keys).sortedBy { it.toString() }.forEach { call ->
            val counts = listOf(before, after).joinToString(" | ") { "${it.calls[call] ?: 0}" }
            println("STORE-CALLS | $name | ${call.topic} ${call.cause} | $counts |")
        }
    }

    private fun RegionSimulation.changeEach(intervalMs: Long, alsoEachStep: () -> Unit = {}) {
        var changes = 0
        onStep = {
            alsoEachStep()
            if (nowMs % intervalMs == 0L) {
                val key = "endpoint-${changes++ % 20}"
                change(key, if (endpointLog.history.getValue(key).last().state == "ready") "draining" else "ready")
            }
        }
        advance(SPAN_MS)
    }
}
