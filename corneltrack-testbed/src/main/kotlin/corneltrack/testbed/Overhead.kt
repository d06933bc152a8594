package corneltrack.testbed

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.atomic.AtomicLong

private const val STREAMS = 200
private const val ROUNDS = 8
private const val WARM_UP_ROUNDS = 6
private const val TOKENS = 100
private const val DECODE_MS_PER_TOKEN = 20L
private const val PREFILL_MS = 50L
private const val SIGNIFICANT_DIGITS = 3
private const val MEDIAN_PERCENTILE = 50.0
private const val TAIL_PERCENTILE = 99.0
private const val NANOS_PER_MS = 1_000_000.0
private const val STAGGER_MS = 2L

/** Measures the latency that a router adds to the first token and between tokens, compared with direct calls. */
@OptIn(ExperimentalCli::class)
internal class Overhead : Subcommand("overhead", "Measure the latency that a router adds to a direct call") {
    private val streams by option(ArgType.Int, "streams", description = "Concurrent streams").default(STREAMS)
    private val rounds by option(ArgType.Int, "rounds", description = "Rounds of each kind").default(ROUNDS)

    override fun execute() {
        val plan = fleetPlan {
            dataCentre("north", routers = 1, engines = 1)
            engine = EngineBehaviour(
                batchSlots = streams * 2,
                coldStartLimit = streams * 2,
                coldStartMs = 1,
                prefillMs = PREFILL_MS,
                decodeMsPerToken = DECODE_MS_PER_TOKEN,
            )
            workspaces = 1
            proxied = false
        }
        TestFleet(plan).use { fleet ->
            fleet.start()
            val direct = LatencyHistograms()
            val routed = LatencyHistograms()
            repeat(WARM_UP_ROUNDS) {
                runRound(fleet, fleet.engines.values.first().address, LatencyHistograms())
                runRound(fleet, fleet.routers.first().callerAddress, LatencyHistograms())
            }
            val probe = FleetProbe(fleet, LoadDriver(CallerClient(fleet.group), emptyList()) { 0 })
            val before = probe.totals().values.first()
            repeat(rounds) {
                runRound(fleet, fleet.engines.values.first().address, direct)
                runRound(fleet, fleet.routers.first().callerAddress, routed)
            }
            val after = probe.totals().values.first()
            probe.close()
            report(direct, routed, after.totalCpuSeconds - before.totalCpuSeconds, after.residentBytes)
        }
    }

    private fun runRound(fleet: TestFleet, address: String, latencies: LatencyHistograms) {
        val client = CallerClient(fleet.group)
        val workspace = fleet.plan.workspaces.first()
        val calls = (1..streams).map { number ->
            val lastEventNanos = AtomicLong()
            Thread.sleep(STAGGER_MS)
            val startNanos = System.nanoTime()
            client.call(address, chat(workspace, "s$number", TOKENS)) {
                val nowNanos = System.nanoTime()
                val previousEventNanos = lastEventNanos.getAndSet(nowNanos)
                if (previousEventNanos == 0L) {
                    latencies.firstToken.recordValue(nowNanos - startNanos)
                } else {
                    latencies.pause.recordValue(nowNanos - previousEventNanos)
                }
            }.result
        }
        latencies.complete.addAndGet(calls.count { it.join().complete }.toLong())
    }

    private fun report(direct: LatencyHistograms, routed: LatencyHistograms, cpuSeconds: Double, residentBytes: Long) {
        println("| $streams concurrent streams | direct | through a router | added |")
        println("|---|---|---|---|")
        println(formatRow("first token p50, ms", direct.firstToken, routed.firstToken, MEDIAN_PERCENTILE))
        println(formatRow("first token p99, ms", direct.firstToken, routed.firstToken, TAIL_PERCENTILE))
        println(formatRow("between tokens p50, ms", direct.pause, routed.pause, MEDIAN_PERCENTILE))
        println(formatRow("between tokens p99, ms", direct.pause, routed.pause, TAIL_PERCENTILE))
        println("| whole answers | ${direct.complete} | ${routed.complete} | |")
        val tokens = routed.complete.get() * TOKENS
        println(
            "| router processor time | | %.2f s | %.1f µs a token |".format(cpuSeconds, cpuSeconds / tokens * MICROS),
        )
        println("| tokens a second and core | | %.0f | |".format(tokens / cpuSeconds))
        println("| streams a second and core | | %.0f | |".format(routed.complete.get() / cpuSeconds))
        println("| resident memory | | %.0f MiB | |".format(residentBytes / MEBIBYTE))
    }

    private fun formatRow(name: String, direct: Histogram, routed: Histogram, percentile: Double): String {
        val directMs = direct.getValueAtPercentile(percentile) / NANOS_PER_MS
        val routedMs = routed.getValueAtPercentile(percentile) / NANOS_PER_MS
        return "| $name | %.2f | %.2f | %.2f |".format(directMs, routedMs, routedMs - directMs)
    }

    private class LatencyHistograms {
        val firstToken: Histogram = ConcurrentHistogram(SIGNIFICANT_DIGITS)
        val pause: Histogram = ConcurrentHistogram(SIGNIFICANT_DIGITS)
        val complete = AtomicLong()
    }
}

private const val MICROS = 1_000_000
private const val MEBIBYTE = 1_048_576.0
