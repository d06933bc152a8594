package corneltrack.testbed

import corneltrack.world.WorkspaceId

private const val IDLE_TIMEOUT_MS = 3_000L

/** Starts a fleet of three regions with one data centre each, which has one router, one engine and one service. */
internal fun smallFleet(configure: FleetPlanBuilder.() -> Unit = {}): TestFleet = TestFleet(
    fleetPlan {
        listOf("north", "middle", "south").forEach { dataCentre(it, routers = 1, engines = 1, services = 1) }
        idleTimeoutMs = IDLE_TIMEOUT_MS
        configure()
    },
).start()

internal val TestFleet.workspace: WorkspaceId get() = plan.workspaces.first()

internal fun TestFleet.router(dataCentre: String): RouterProcess =
    routers.first { it.id.startsWith("$dataCentre-") }

/** Returns the number of times that the call with [body] has run, over all services. */
internal fun TestFleet.runsOf(body: String): Int = services.values.sumOf { it.runs[body]?.get() ?: 0 }
