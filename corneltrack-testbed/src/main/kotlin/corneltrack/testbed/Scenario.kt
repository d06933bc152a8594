package corneltrack.testbed

import corneltrack.world.BringBack
import corneltrack.world.DataCentreId
import corneltrack.world.TakeOut
import corneltrack.world.Target
import corneltrack.world.TargetKind

private const val PROPAGATION_LIMIT_MS = 3_000L

/** The disturbance of a fleet during a measurement, with its [title] in the table of results. */
public enum class Scenario(public val title: String) {
    STEADY("steady overload"),
    FLOOD("one workspace floods"),
    DATA_CENTRE_OUT("data centre out and back"),
    PARTITION("a region cut off and back"),
    LOG_OUTAGE("log down"),
    ROUTER_KILLED("a router killed"),
}

/**
 * Holds one row of the table of results; rates are those of the router with the highest one.
 *
 * @property fairnessGapTokens the fairness gap over the whole scenario, in tokens.
 * @property firstHalfFairnessGapTokens the fairness gap over its first half, in tokens.
 * @property utilisation the fraction of the batch slots that ran requests.
 * @property controlBytesPerSecond the control traffic, in bytes per second.
 * @property crossRegionControlBytesPerSecond the part of it between regions, in bytes per second.
 * @property crossRegionRequestBytesPerSecond the request traffic between regions, in bytes per second.
 * @property controlCpuCores the CPU time of the control threads, in cores.
 * @property residentBytes the largest resident memory of a router, in bytes.
 * @property counts the results that callers saw.
 * @property coldStartOverloads the requests above the cold-start limit, each of which crashed an engine.
 * @property refusedRequests the requests that warm engines refused because all batch slots were taken.
 */
public data class ScenarioResult(
    val scenario: Scenario,
    val fairnessGapTokens: Double,
    val firstHalfFairnessGapTokens: Double,
    val utilisation: Double,
    val controlBytesPerSecond: Double,
    val crossRegionControlBytesPerSecond: Double,
    val crossRegionRequestBytesPerSecond: Double,
    val controlCpuCores: Double,
    val residentBytes: Long,
    val counts: String,
    val coldStartOverloads: Int,
    val refusedRequests: Int,
    val notes: String,
)

/** The fleet that measurements run on, with the shape and size of current deployments. */
public val measuredPlan: FleetPlan = fleetPlan {
    listOf("kumamoto", "oita", "kagoshima").forEach {
        dataCentre(it, routers = ROUTERS_PER_REGION, engines = ENGINES_PER_REGION, services = 1)
    }
    workspaces = WORKSPACES
    engine = EngineBehaviour(
        batchSlots = BATCH_SLOTS,
        prefillMs = PREFILL_MS,
        decodeMsPerToken = DECODE_MS_PER_TOKEN,
        resumable = true,
    )
    regionDelayMs = REGION_DELAY_MS
    listLagMs = LIST_LAG_MS
}

/** Runs the disturbance of [scenario] for [lengthMs]. Returns notes on its effects for the table of results. */
internal fun runScenario(scenario: Scenario, fleet: TestFleet, probe: FleetProbe, lengthMs: Long): String =
    when (scenario) {
        Scenario.STEADY, Scenario.FLOOD -> "".also { Thread.sleep(lengthMs) }
        Scenario.DATA_CENTRE_OUT -> dataCentreOut(fleet, probe, lengthMs)
        Scenario.PARTITION -> partition(fleet, lengthMs)
        Scenario.LOG_OUTAGE -> logOutage(fleet, lengthMs)
        Scenario.ROUTER_KILLED -> routerKilled(fleet, lengthMs)
    }

private fun dataCentreOut(fleet: TestFleet, probe: FleetProbe, lengthMs: Long): String {
    val target = Target(TargetKind.DATA_CENTRE, "oita")
    Thread.sleep(lengthMs / QUARTERS)
    val offset = fleet.change(TakeOut(target))
    probe.isInService = { !it.startsWith("oita") }
    val appliedAfterMs = awaitAppliedMs(fleet, offset)
    Thread.sleep(PROPAGATION_LIMIT_MS - appliedAfterMs.coerceAtMost(PROPAGATION_LIMIT_MS))
    val requestsBefore = receivedRequests(fleet, DataCentreId("oita"))
    Thread.sleep(lengthMs / QUARTERS)
    val lateRequests = receivedRequests(fleet, DataCentreId("oita")) - requestsBefore
    val bringBackAppliedAfterMs = awaitAppliedMs(fleet, fleet.change(BringBack(target)))
    Thread.sleep(lengthMs / QUARTERS)
    probe.isInService = { true }
    Thread.sleep(lengthMs / QUARTERS)
    return "in force after $appliedAfterMs/$bringBackAppliedAfterMs ms; new work after 3 s: $lateRequests"
}

private fun partition(fleet: TestFleet, lengthMs: Long): String {
    val regionRouters = fleet.routers.map { it.id }.filter { it.startsWith("oita") }.toSet()
    val members = fleet.routers.map { it.id } + fleet.engines.keys.map { it.value } +
        fleet.services.keys.map { it.value } + listOf("log", "list")
    val otherMembers = members.filterNot { it.startsWith("oita") }.toSet()
    val regionEngines = members.filter { it.startsWith("oita-engine") }.toSet()
    Thread.sleep(lengthMs / QUARTERS)
    fleet.proxies.injectBetween(regionRouters, otherMembers, LinkFault.SILENT)
    fleet.proxies.injectBetween(regionEngines, otherMembers, LinkFault.SILENT)
    Thread.sleep(lengthMs / 2)
    val offset = fleet.change(TakeOut(Target(TargetKind.ENDPOINT, "kumamoto-service-1")))
    fleet.proxies.injectBetween(regionRouters, otherMembers, LinkFault.NONE)
    fleet.proxies.injectBetween(regionEngines, otherMembers, LinkFault.NONE)
    val appliedAfterMs = awaitAppliedMs(fleet, offset)
    Thread.sleep(lengthMs / QUARTERS)
    return "configuration in force $appliedAfterMs ms after rejoining"
}

private fun logOutage(fleet: TestFleet, lengthMs: Long): String {
    Thread.sleep(lengthMs / QUARTERS)
    fleet.log.down = true
    Thread.sleep(lengthMs / 2)
    fleet.log.down = false
    val appliedAfterMs = awaitAppliedMs(fleet, fleet.change(TakeOut(Target(TargetKind.ENDPOINT, "kumamoto-service-1"))))
    Thread.sleep(lengthMs / QUARTERS)
    return "configuration in force $appliedAfterMs ms after the log came back"
}

private fun routerKilled(fleet: TestFleet, lengthMs: Long): String {
    Thread.sleep(lengthMs / QUARTERS)
    val victim = fleet.routers.first { it.id.startsWith("oita") }
    victim.kill()
    fleet.list.update { list -> list.copy(instances = list.instances.filterNot { it.id.value == victim.id }) }
    Thread.sleep(lengthMs / QUARTERS * (QUARTERS - 1))
    return "killed ${victim.id}"
}

/** Waits until every running router has applied the configuration at [offset]. Returns the waiting time, in ms. */
private fun awaitAppliedMs(fleet: TestFleet, offset: Long): Long {
    val startMs = nowMs()
    await("configuration $offset in force") {
        fleet.routers.filter { it.isAlive }.all { (fleet.status(it)?.configurationOffset ?: -1) >= offset }
    }
    return nowMs() - startMs
}

private fun receivedRequests(fleet: TestFleet, dataCentre: DataCentreId): Long =
    fleet.engines.filterKeys { it.value.startsWith("$dataCentre-") }.values.sumOf { it.receivedRequests.get() }

private const val ROUTERS_PER_REGION = 3
private const val ENGINES_PER_REGION = 4
private const val WORKSPACES = 16
private const val BATCH_SLOTS = 8
private const val PREFILL_MS = 100L
private const val DECODE_MS_PER_TOKEN = 20L
private const val REGION_DELAY_MS = 15L
private const val LIST_LAG_MS = 3_000L
private const val QUARTERS = 4
