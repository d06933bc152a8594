package corneltrack.testbed

import corneltrack.world.WorkspaceId

private const val DEFAULT_SILENCE_MS = 3_000L

/** A fleet of three data centres in three regions, one router, one engine and one service in each. */
internal fun smallFleet(describe: FleetPlanBuilder.() -> Unit = {}): TestFleet = TestFleet(
    fleetPlan {
        listOf("north", "middle", "south").forEach { dataCentre(it, routers = 1, engines = 1, services = 1) }
        silenceLimitMs = DEFAULT_SILENCE_MS
        describe()
    },
).start()

internal val TestFleet.workspace: WorkspaceId get() = plan.workspaces.first()

internal fun TestFleet.router(dataCentre: String): RouterProcess =
    routers.first { it.id.startsWith("$dataCentre-") }

/** Returns how often the call with [body] has run on any service. */
internal fun TestFleet.runsOf(body: String): Int = services.values.sumOf { it.runs[body]?.get() ?: 0 }
