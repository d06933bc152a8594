package corneltrack.testbed

import corneltrack.world.WorkspaceId

private const val IDLE_TIMEOUT_MS = 3_000L

/** A fleet of three data centres in three regions, one router, one engine and one service in each. */
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

/** Returns how often the call with [body] has run on any service. */
internal fun TestFleet.runsOf(body: String): Int = services.values.sumOf { it.runs[body]?.get() ?: 0 }
