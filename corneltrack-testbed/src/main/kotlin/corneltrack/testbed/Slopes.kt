package corneltrack.testbed

import corneltrack.policy.CellAllocator
import corneltrack.policy.CellReport
import corneltrack.policy.CellView
import corneltrack.policy.EndpointReport
import corneltrack.policy.LeaseTimes
import corneltrack.policy.SlotDemand
import corneltrack.policy.WorkspaceReport
import corneltrack.policy.divideSlots
import corneltrack.wire.wireJson
import corneltrack.wire.wireProtobuf
import corneltrack.world.Cell
import corneltrack.world.ChangeRecord
import corneltrack.world.Configuration
import corneltrack.world.DataCentreId
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.Pool
import corneltrack.world.PoolId
import corneltrack.world.PoolKind
import corneltrack.world.PutWorkspace
import corneltrack.world.Terms
import corneltrack.world.Workspace
import corneltrack.world.WorkspaceId
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.encodeToString

private const val MEASURED_RUNS = 30
private const val WARM_UP_RUNS = 1_500
private const val NANOS_PER_MICRO = 1_000.0
private const val KIBIBYTE = 1_024.0
private const val KEY_HASH_LENGTH = 64
private const val SLOTS_PER_ENDPOINT = 160
private const val WAITING = 20

/** The size of one cell; [workspaces] counts those with a backlog. */
private data class CellSize(val name: String, val routers: Int, val workspaces: Int, val endpoints: Int)

private val CELL_SIZES = listOf(
    CellSize("1x", routers = 3, workspaces = CURRENT_WORKSPACES, endpoints = 4),
    CellSize("4x", routers = 12, workspaces = FOURFOLD_WORKSPACES, endpoints = 4),
    CellSize("16x", routers = 35, workspaces = SIXTEENFOLD_WORKSPACES, endpoints = 5),
    CellSize("full", routers = 35, workspaces = MAXIMUM_BACKLOGGED_WORKSPACES, endpoints = 5),
)

private const val CURRENT_WORKSPACES = 16
private const val FOURFOLD_WORKSPACES = 64
private const val SIXTEENFOLD_WORKSPACES = 256
private const val MAXIMUM_BACKLOGGED_WORKSPACES = 1_100
private const val MAXIMUM_WORKSPACES = 11_000
private const val OLDEST_WAIT_MS = 1_500L
private const val SERVED_STEP = 1_000L
private val WORKSPACE_COUNTS = listOf(
    CURRENT_WORKSPACES,
    FOURFOLD_WORKSPACES,
    SIXTEENFOLD_WORKSPACES,
    MAXIMUM_BACKLOGGED_WORKSPACES,
    MAXIMUM_WORKSPACES,
)

/** Measures how the time of decisions and the size of state and messages grow with the fleet. */
@OptIn(ExperimentalCli::class)
internal class Slopes : Subcommand("slopes", "Measure decision times and state sizes at 1x, 4x, 16x and full size") {
    override fun execute() {
        println("| cell | routers | backlogged workspaces | slots | divide, µs | one exchange, µs | report, bytes |")
        println("|---|---|---|---|---|---|---|")
        CELL_SIZES.forEach { println(formatCellRow(it)) }
        println()
        println("| workspaces | apply one change, µs | snapshot, KiB |")
        println("|---|---|---|")
        WORKSPACE_COUNTS.forEach { println(formatConfigurationRow(it)) }
    }

    private fun formatCellRow(size: CellSize): String {
        val demands = (0 until size.routers).flatMap { router ->
            (0 until size.workspaces).filter { (it + router) % size.routers < 2 }
                .map { SlotDemand(WorkspaceId("w$it"), InstanceId("r$router"), WAITING, 1) }
        }
        val slots = size.endpoints * SLOTS_PER_ENDPOINT
        val divideMicros = medianMicros { divideSlots(slots, demands, { it.value.length.toDouble() }, { Terms() }) }
        val cell = SimulatedCell(size)
        val exchangeMicros = medianMicros { cell.exchangeNext() }
        val bytes = wireProtobuf.encodeToByteArray(cell.report(0)).size
        return "| ${size.name} | ${size.routers} | ${size.workspaces} | $slots | %.0f | %.0f | $bytes |"
            .format(divideMicros, exchangeMicros)
    }

    private fun formatConfigurationRow(count: Int): String {
        val configuration = (0 until count).fold(
            Configuration()
        ) { state, number -> state.apply(number.toLong(), putWorkspace(number)) }
        val micros = medianMicros { configuration.apply(count.toLong(), putWorkspace(count)) }
        val size = wireJson.encodeToString(configuration).length / KIBIBYTE
        return "| $count | %.0f | %.0f |".format(micros, size)
    }

    private fun putWorkspace(number: Int): ChangeRecord {
        val hash = number.toString().padStart(KEY_HASH_LENGTH, '0')
        val workspace = Workspace(WorkspaceId("workspace-$number"), setOf(hash))
        return ChangeRecord("change-$number", Long.MAX_VALUE, "operator", "slopes", 0, PutWorkspace(workspace))
    }
}

/** Drives one allocator with reports from all its routers, round robin. */
private class SimulatedCell(private val size: CellSize) {
    private val cell = Cell(PoolId("p"), DataCentreId("d"))
    private val pool = Pool(
        PoolId("p"),
        PoolKind.MODEL,
        coldLimit = SLOTS_PER_ENDPOINT,
        endpointLimit = SLOTS_PER_ENDPOINT,
    )
    private val homeGroup = (0 until size.routers).mapTo(HashSet()) { InstanceId("r$it") }
    private val endpoints = (0 until size.endpoints).mapTo(HashSet()) { EndpointId("endpoint-$it") }
    private val allocator = CellAllocator(cell, LeaseTimes(), -LeaseTimes().supportMs) { Terms() }
    private val acknowledgedSequences = HashMap<Int, Long>()
    private var exchanges = 0
    private var nowMs = 0L

    /** Performs the exchange of the next router. Time advances by about half a lease in each round of all routers. */
    fun exchangeNext() {
        val router = exchanges++ % size.routers
        nowMs += 1 + LeaseTimes().leaseMs / size.routers / 2
        allocator.onView(CellView(pool, homeGroup, endpoints, endpoints), nowMs)
        endpoints.first().let { allocator.onEndpointReport(it, EndpointReport("one", 0, cold = false, nowMs), nowMs) }
        val grant = allocator.exchange(InstanceId("r$router"), "one", nowMs - 1, report(router), nowMs)
        acknowledgedSequences[router] = grant.sequence
    }

    fun report(router: Int): CellReport = CellReport(
        cell = cell,
        supports = true,
        acknowledged = acknowledgedSequences[router] ?: 0,
        running = endpoints.associateWith { 1 },
        workspaces = (0 until size.workspaces).filter { (it + router) % size.routers < 2 }
            .map { WorkspaceReport(WorkspaceId("workspace-$it"), WAITING, 1, exchanges * SERVED_STEP, OLDEST_WAIT_MS) },
    )
}

private fun medianMicros(action: () -> Unit): Double {
    repeat(WARM_UP_RUNS) { action() }
    val times = (1..MEASURED_RUNS).map {
        val startNanos = System.nanoTime()
        action()
        System.nanoTime() - startNanos
    }
    return times.sorted()[MEASURED_RUNS / 2] / NANOS_PER_MICRO
}
