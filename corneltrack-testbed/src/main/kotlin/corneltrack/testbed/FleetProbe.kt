package corneltrack.testbed

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private const val USE_PERIOD_MS = 20L
private const val SERVICE_PERIOD_MS = 100L
private const val LENT_PERIOD_MS = 2_000L
private const val TICKS_PER_SECOND = 100.0
private const val USER_FIELD = 11
private const val SYSTEM_FIELD = 12
private const val KIBIBYTE = 1024L
private val CONTROL_BYTES =
    Regex("corneltrack_traffic_bytes_total\\{direction=\"\\w+\",kind=\"(\\w+)\",scope=\"(\\w+)\"} (\\S+)")

/** Totals of one router at one moment. */
public data class RouterTotals(
    val controlBytes: Double,
    val crossRegionControlBytes: Double,
    val crossRegionRequestBytes: Double,
    val platformBytes: Double,
    val controlSeconds: Double,
    val totalSeconds: Double,
    val residentBytes: Long,
)

/** Samples a running fleet: slots in use, tokens served, and each router's totals. */
public class FleetProbe(private val fleet: TestFleet, private val driver: LoadDriver) : AutoCloseable {
    private val executor: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor()
    private val statuses: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor()
    private val samples = mutableListOf<ServiceSample>()
    private var busy = 0L
    private var available = 0L
    private var usable = 0L
    private var lent = 0L
    private var limits = 0L

    /** Tells which engines count as available for utilisation. */
    @Volatile
    public var inService: (String) -> Boolean = { true }

    /** Starts to sample. */
    public fun start(): FleetProbe = apply {
        executor.scheduleAtFixedRate(::sampleUse, 0, USE_PERIOD_MS, TimeUnit.MILLISECONDS)
        statuses.scheduleAtFixedRate(::sampleLent, 0, LENT_PERIOD_MS, TimeUnit.MILLISECONDS)
        executor.scheduleAtFixedRate(::sampleService, 0, SERVICE_PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    /** Returns the service samples since [start]. */
    @Synchronized
    public fun samples(): List<ServiceSample> = samples.toList()

    /** Returns the busy slot-time over the available slot-time. */
    @Synchronized
    public fun utilisation(): Double = busy.toDouble() / available.coerceAtLeast(1)

    /** Returns the parts of all endpoints' limits that allocators may lend and that routers hold. */
    @Synchronized
    public fun lending(): Pair<Double, Double> {
        val all = limits.coerceAtLeast(1).toDouble()
        return usable / all to lent / all
    }

    /** Returns the totals of each running router. */
    public fun totals(): Map<String, RouterTotals> =
        fleet.routers.filter { it.isAlive }.associate { it.id to totals(it) }

    override fun close() {
        executor.shutdownNow()
        statuses.shutdownNow()
    }

    @Synchronized
    private fun sampleUse() {
        fleet.engines.filterKeys { inService(it.value) }.values.forEach { engine ->
            busy += engine.runningRequestCount
            available += fleet.plan.engine.batchSlots
        }
    }

    private fun sampleLent() {
        val cells = fleet.routers.filter { it.isAlive }
            .flatMap { fleet.status(it)?.allocates.orEmpty() }
            .filter { it.cell.pool == DRAFTS }
        synchronized(this) {
            limits += cells.sumOf { it.limits.values.sum() }
            usable += cells.sumOf { it.usable - it.borrowed }
            lent += cells.sumOf { it.lent }
        }
    }

    @Synchronized
    private fun sampleService() {
        samples += ServiceSample(nowMs(), driver.receivedTokens())
    }

    private fun totals(router: RouterProcess): RouterTotals {
        val traffic = CONTROL_BYTES.findAll(fleet.get(router, "/metrics").orEmpty())
            .map { it.groupValues }.groupBy({ it[1] to it[2] }, { it.last().toDouble() })
            .mapValues { it.value.sum() }
        return RouterTotals(
            controlBytes = traffic.filterKeys { it.first == "control" }.values.sum(),
            crossRegionControlBytes = traffic["control" to "cross_region"] ?: 0.0,
            crossRegionRequestBytes = traffic["request" to "cross_region"] ?: 0.0,
            platformBytes = traffic.filterKeys { it.first == "platform" }.values.sum(),
            controlSeconds = threadSeconds(router.pid) { it.startsWith("control") },
            totalSeconds = threadSeconds(router.pid) { true },
            residentBytes = residentBytes(router.pid),
        )
    }
}

private fun threadSeconds(pid: Long, picks: (String) -> Boolean): Double =
    Files.list(Path.of("/proc/$pid/task")).use { tasks ->
        tasks.toList().sumOf { task ->
            val stat = runCatching { Files.readString(task.resolve("stat")) }.getOrDefault("")
            val name = stat.substringAfter('(', "").substringBeforeLast(')', "")
            if (stat.isNotEmpty() && picks(name)) cpuSeconds(stat) else 0.0
        }
    }

private fun cpuSeconds(stat: String): Double {
    val fields = stat.substringAfterLast(") ").split(' ')
    return (fields[USER_FIELD].toLong() + fields[SYSTEM_FIELD].toLong()) / TICKS_PER_SECOND
}

private fun residentBytes(pid: Long): Long {
    val line = Files.readAllLines(Path.of("/proc/$pid/status")).first { it.startsWith("VmRSS") }
    return line.filter { it.isDigit() }.toLong() * KIBIBYTE
}
