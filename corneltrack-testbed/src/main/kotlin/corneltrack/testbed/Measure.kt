package corneltrack.testbed

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.io.File

private const val DEFAULT_SECONDS = 24
private const val DEFAULT_WARM_UP_SECONDS = 15
private const val MS_PER_SECOND = 1_000
private const val PERCENT = 100
private const val MEBIBYTE = 1_048_576.0

/**
 * Measures fairness, utilisation, control traffic and the response to faults on a fleet of the current size.
 *
 * Each scenario runs on a new fleet.
 */
@OptIn(ExperimentalCli::class)
internal class Measure : Subcommand("measure", "Measure fairness, utilisation, control traffic and transitions") {
    private val seconds by option(
        ArgType.Int,
        "seconds",
        description = "Length of each scenario"
    ).default(DEFAULT_SECONDS)
    private val warmUp by option(
        ArgType.Int,
        "warm-up",
        description = "Seconds under load before each scenario"
    ).default(DEFAULT_WARM_UP_SECONDS)
    private val only by option(ArgType.String, "only", description = "Comma-separated scenarios; all by default")
    private val build by option(ArgType.String, "router-build", description = "Jar of another build to run")
    private val file by option(ArgType.String, "file", description = "Where to append the table")
    private val commit by option(ArgType.String, "commit", description = "Commit to name in the table").default("")

    override fun execute() {
        val scenarios = only?.split(',')?.map { Scenario.valueOf(it.trim().uppercase().replace('-', '_')) }
        val results = (scenarios ?: Scenario.entries).map { scenario ->
            measureScenario(scenario).also { println(it.formatRow()) }
        }
        val table = formatTable(results)
        println(table)
        file?.let { File(it).appendText(table + "\n") }
    }

    private fun measureScenario(scenario: Scenario): ScenarioResult =
        TestFleet(measuredPlan, build?.let { File(it) }).use { fleet ->
            fleet.start()
            val driver = LoadDriver(
                CallerClient(fleet.group),
                unevenBacklogs(fleet, flooding = scenario == Scenario.FLOOD),
                ::requestTokens,
            )
            driver.start()
            Thread.sleep(warmUp * MS_PER_SECOND.toLong())
            FleetProbe(fleet, driver).use { probe ->
                val before = probe.totals()
                probe.start()
                val startMs = nowMs()
                val notes = runScenario(scenario, fleet, probe, seconds * MS_PER_SECOND.toLong())
                val elapsedSeconds = (nowMs() - startMs) / MS_PER_SECOND.toDouble()
                summarize(scenario, fleet, driver, Observation(probe, before, elapsedSeconds), notes)
                    .also { driver.stop() }
            }
        }

    private class Observation(val probe: FleetProbe, val before: Map<String, RouterTotals>, val seconds: Double)

    private fun summarize(
        scenario: Scenario,
        fleet: TestFleet,
        driver: LoadDriver,
        observation: Observation,
        notes: String,
    ): ScenarioResult {
        val samples = observation.probe.samples()
        val after = observation.probe.totals()
        fun maximumRate(value: (RouterTotals) -> Double): Double = after.maxOf { (id, totals) ->
            (value(totals) - (observation.before[id]?.let(value) ?: 0.0)) / observation.seconds
        }
        return ScenarioResult(
            scenario = scenario,
            fairnessGapTokens = fairnessGap(samples),
            firstHalfFairnessGapTokens = fairnessGap(samples.take(samples.size / 2)),
            utilisation = observation.probe.utilisation(),
            controlBytesPerSecond = maximumRate { it.controlBytes },
            crossRegionControlBytesPerSecond = maximumRate { it.crossRegionControlBytes },
            crossRegionRequestBytesPerSecond = maximumRate { it.crossRegionRequestBytes },
            controlCpuCores = maximumRate { it.controlCpuSeconds },
            residentBytes = after.maxOf { it.value.residentBytes },
            counts = driver.counts.toString(),
            coldStartOverloads = fleet.engines.values.sumOf { it.coldStartOverloads.get() },
            refusedRequests = fleet.engines.values.sumOf { it.refusedRequests.get() },
            notes = (listOf(notes).filter { it.isNotEmpty() } + tokenRange(samples) + lending(observation.probe))
                .joinToString("; "),
        )
    }

    /** Describes the workspaces that received the least and the most tokens. */
    private fun tokenRange(samples: List<ServiceSample>): String {
        val first = samples.firstOrNull()?.served.orEmpty()
        val served = samples.lastOrNull()?.served.orEmpty().mapValues { it.value - (first[it.key] ?: 0) }
        val minimum = served.minByOrNull { it.value }
        val maximum = served.maxByOrNull { it.value }
        return "served ${minimum?.value} (${minimum?.key}) to ${maximum?.value} (${maximum?.key})"
    }

    private fun lending(probe: FleetProbe): String {
        val (usable, lent) = probe.lending()
        return "usable %.1f %%, lent %.1f %% of the limits".format(usable * PERCENT, lent * PERCENT)
    }

    private fun formatTable(results: List<ScenarioResult>): String = buildString {
        appendLine("commit $commit, `bin/corneltrack-testbed measure --seconds $seconds --warm-up $warmUp`")
        appendLine()
        appendLine(
            "| scenario | gap, tokens (first half) | utilisation | control B/s | cross-region control B/s | " +
                "cross-region request B/s | control core % | RSS MiB | callers saw | " +
                "over-limit starts cold, warm | notes |",
        )
        appendLine("|---|---|---|---|---|---|---|---|---|---|---|")
        results.forEach { appendLine(it.formatRow()) }
    }

    private fun ScenarioResult.formatRow(): String = listOf(
        scenario.title,
        "%.0f (%.0f)".format(fairnessGapTokens, firstHalfFairnessGapTokens),
        "%.1f %%".format(utilisation * PERCENT),
        "%.0f".format(controlBytesPerSecond),
        "%.0f".format(crossRegionControlBytesPerSecond),
        "%.0f".format(crossRegionRequestBytesPerSecond),
        "%.2f".format(controlCpuCores * PERCENT),
        "%.0f".format(residentBytes / MEBIBYTE),
        counts,
        "$coldStartOverloads, $refusedRequests",
        notes,
    ).joinToString(" | ", "| ", " |")
}
