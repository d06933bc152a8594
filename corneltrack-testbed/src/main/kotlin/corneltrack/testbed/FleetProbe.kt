package corneltrack.testbed

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private const val UTILISATION_PERIOD_MS = 20L
private const val SERVICE_PERIOD_MS = 100L
private const val LENDING_PERIOD_MS = 2_000L
private const val CLOCK_TICKS_PER_SECOND = 100.0
private const val USER_TIME_FIELD = 11
private const val SYSTEM_TIME_FIELD = 12
private const val KIBIBYTE = 1024L
private val TRAFFIC_METRIC =
    Regex("corneltrack_traffic_bytes_total\\{direction=\"\\w+\",kind=\"(\\w+)\",scope=\"(\\w+)\"} (\\S+)")

/**
 * Holds counters of one router since its start.
 *
 * @property controlBytes the control traffic with other members, in bytes.
 * @property platformBytes the traffic with the log and the instance list, in bytes.
 * @property controlCpuSeconds the CPU time of the threads whose names begin with "control", in s.
 * @property totalCpuSeconds the CPU time of all threads, in s.
 * @property residentBytes the resident memory now, in bytes.
 */
public data class RouterTotals(
    val controlBytes: Double,
    val crossRegionControlBytes: Double,
    val crossRegionRequestBytes: Double,
    val platformBytes: Double,
    val controlCpuSeconds: Double,
    val totalCpuSeconds: Double,
    val residentBytes: Long,
)

/** Samples a running fleet: the utilisation of the engines, the lending of slots, and the tokens served. */
public class FleetProbe(private val fleet: TestFleet, private val driver: LoadDriver) : AutoCloseable {
    private val samplingExecutor: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor()
    private val statusExecutor: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor()
    private val samples = mutableListOf<ServiceSample>()
    private var runningSamples = 0L
    private var slotSamples = 0L
    private var lendableSlots = 0L
    private var lentSlots = 0L
    private var limitSlots = 0L

    /** Returns whether the engine with the given id counts towards utilisation. */
    @Volatile
    public var isInService: (String) -> Boolean = { true }

    /** Starts sampling. */
    public fun start(): FleetProbe = apply {
        samplingExecutor.scheduleAtFixedRate(::sampleUtilisation, 0, UTILISATION_PERIOD_MS, TimeUnit.MILLISECONDS)
        statusExecutor.scheduleAtFixedRate(::sampleLending, 0, LENDING_PERIOD_MS, TimeUnit.MILLISECONDS)
        samplingExecutor.scheduleAtFixedRate(::sampleService, 0, SERVICE_PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    /** Returns the service samples since [start]. */
    @Synchronized
    public fun samples(): List<ServiceSample> = samples.toList()

    /** Returns the fraction of the batch slots that ran requests, averaged over time. */
    @Synchronized
    public fun utilisation(): Double = runningSamples.toDouble() / slotSamples.coerceAtLeast(1)

    /** Returns the fractions of all endpoints' limits that allocators may lend and that they have lent to routers. */
    @Synchronized
    public fun lending(): Pair<Double, Double> {
        val total = limitSlots.coerceAtLeast(1).toDouble()
        return lendableSlots / total to lentSlots / total
    }

    /** Returns the totals of each running router. */
    public fun totals(): Map<String, RouterTotals> =
        fleet.routers.filter { it.isAlive }.associate { it.id to totals(it) }

    override fun close() {
        samplingExecutor.shutdownNow()
        statusExecutor.shutdownNow()
    }

    @Synchronized
    private fun sampleUtilisation() {
        fleet.engines.filterKeys { isInService(it.value) }.values.forEach { engine ->
            runningSamples += engine.runningRequestCount
            slotSamples += fleet.plan.engine.batchSlots
        }
    }

    private fun sampleLending() {
        val cells = fleet.routers.filter { it.isAlive }
            .flatMap { fleet.status(it)?.allocates.orEmpty() }
            .filter { it.cell.pool == DRAFTS }
        synchronized(this) {
            limitSlots += cells.sumOf { it.limits.values.sum() }
            lendableSlots += cells.sumOf { it.usable - it.borrowed }
            lentSlots += cells.sumOf { it.lent }
        }
    }

    @Synchronized
    private fun sampleService() {
        samples += ServiceSample(nowMs(), driver.receivedTokens())
    }

    private fun totals(router: RouterProcess): RouterTotals {
        val traffic = TRAFFIC_METRIC.findAll(fleet.get(router, "/metrics").orEmpty())
            .map { it.groupValues }.groupBy({ it[1] to it[2] }, { it.last().toDouble() })
            .mapValues { it.value.sum() }
        return RouterTotals(
            controlBytes = traffic.filterKeys { it.first == "control" }.values.sum(),
            crossRegionControlBytes = traffic["control" to "cross_region"] ?: 0.0,
            crossRegionRequestBytes = traffic["request" to "cross_region"] ?: 0.0,
            platformBytes = traffic.filterKeys { it.first == "platform" }.values.sum(),
            controlCpuSeconds = threadCpuSeconds(router.pid) { it.startsWith("control") },
            totalCpuSeconds = threadCpuSeconds(router.pid) { true },
            residentBytes = residentBytes(router.pid),
        )
    }
}

private fun threadCpuSeconds(pid: Long, threadNameMatches: (String) -> Boolean): Double =
    Files.list(Path.of("/proc/$pid/task")).use { tasks ->
        tasks.toList().sumOf { task ->
            val stat = runCatching { Files.readString(task.resolve("stat")) }.getOrDefault("")
            val name = stat.substringAfter('(', "").substringBeforeLast(')', "")
            if (stat.isNotEmpty() && threadNameMatches(name)) cpuSeconds(stat) else 0.0
        }
    }

private fun cpuSeconds(stat: String): Double {
    val fields = stat.substringAfterLast(") ").split(' ')
    return (fields[USER_TIME_FIELD].toLong() + fields[SYSTEM_TIME_FIELD].toLong()) / CLOCK_TICKS_PER_SECOND
}

private fun residentBytes(pid: Long): Long {
    val line = Files.readAllLines(Path.of("/proc/$pid/status")).first { it.startsWith("VmRSS") }
    return line.filter { it.isDigit() }.toLong() * KIBIBYTE
}
