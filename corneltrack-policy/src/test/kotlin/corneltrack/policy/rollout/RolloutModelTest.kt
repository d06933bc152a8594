package corneltrack.policy.rollout

import java.io.File
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Runs [RolloutModel] for each combination of version, size of the fleet and fault.
 *
 * `-Dcorneltrack.rollout.seeds=200` runs the full matrix; `-Dcorneltrack.rollout.tables=FOLDER` writes the tables.
 */
class RolloutModelTest {
    @Test
    fun `bad versions are rolled back within their exposure and good ones complete`() {
        val broken = rows("matrix", matrix()).flatMap { it.broken() }
        assertTrue(broken.isEmpty(), broken.joinToString("\n"))
    }

    /** Small pools may miss a version that fails rarely, so only grossly bad ones have to be found. */
    @Test
    fun `a small pool rolls back grossly bad versions`() {
        val broken = rows("small", smallPools()).flatMap { it.brokenInSmallPool() }
        assertTrue(broken.isEmpty(), broken.joinToString("\n"))
    }

    private fun rows(name: String, scenarios: List<ModelScenario>): List<ModelRow> {
        val rows = scenarios.parallelStream().map { scenario -> ModelRow(scenario, SEEDS) }.toList()
        System.getProperty("corneltrack.rollout.tables")?.let { folder ->
            File(folder, "$name.md").writeText(ModelRow.HEAD + rows.joinToString("") { it.text })
        }
        return rows
    }

    private fun matrix(): List<ModelScenario> = ModelVersion.entries.flatMap { version ->
        FLEETS.flatMap { routers -> ModelFault.entries.map { ModelScenario(version, routers, it) } }
    }

    private fun smallPools(): List<ModelScenario> = ModelVersion.entries.flatMap { version ->
        SMALL_RATES.flatMap { rate ->
            SMALL_FLEETS.map { ModelScenario(version, it, ModelFault.CALM, rate, SMALL_POOL) }
        }
    }

    private companion object {
        val SEEDS: Int = Integer.getInteger("corneltrack.rollout.seeds", 1)
        val FLEETS = listOf(8, 60, 95)
        val SMALL_RATES = listOf(30, 60, 121, 150)
        val SMALL_FLEETS = listOf(8, 60)
        const val SMALL_POOL = 6
    }
}

/** The results of one combination over its seeds. */
internal class ModelRow(private val scenario: ModelScenario, seeds: Int) {
    private val results = (0 until seeds).map { RolloutModel(scenario, it).run() }
    private val good = scenario.version == ModelVersion.GOOD
    private val missed = results.count { !good && it.phase == RolloutPhase.COMPLETED }
    private val open = results.count { it.phase?.ended != true }
    private val rolledBack = results.count { it.phase == RolloutPhase.ROLLED_BACK }
    private val late = results.count { it.phase == RolloutPhase.COMPLETED && it.endedMs > RolloutModel.DURATION_MS }
    private val overBound = results.count { !good && it.overBound > 0 }
    private val exposure = results.maxOf { it.exposure }
    private val stopMs = results.maxOf { it.stopAfterFiftiethMs }
    private val stopped = results.sumOf { it.sentToStoppedVersion }

    val text: String
        get() = if (good) {
            "| ${scenario.text} | - | $rolledBack | $late | $open | - | - | - | $stopped |\n"
        } else {
            val largest = "%.4f".format(exposure)
            "| ${scenario.text} | $missed | - | - | $open | $largest | $overBound | $stopMs | $stopped |\n"
        }

    fun broken(): List<String> = listOfNotNull(
        "missed $missed".takeIf { missed > 0 },
        "rolled back $rolledBack".takeIf { good && rolledBack > WRONG_SHARE * results.size + 1 },
        "late $late".takeIf { good && late > LATE_SHARE * results.size + 1 && scenario.fault == ModelFault.CALM },
        "open $open".takeIf { open > 0 },
        "over bound $overBound".takeIf { overBound > 0 },
        "stop $stopMs ms".takeIf { !good && stopMs > ROLLBACK_MS },
        "sent to a stopped version $stopped".takeIf { stopped > 0 },
    ).map { "${scenario.text}: $it" }

    fun brokenInSmallPool(): List<String> = listOfNotNull(
        "missed $missed".takeIf { scenario.version in GROSSLY_BAD && missed > LATE_SHARE * results.size + 1 },
        "open $open".takeIf { open > 0 },
        "over bound $overBound".takeIf { scenario.version in GROSSLY_BAD && overBound > missed },
    ).map { "${scenario.text}: $it" }

    companion object {
        private val GROSSLY_BAD = setOf(ModelVersion.MOST, ModelVersion.SLOW)
        const val HEAD =
            "| version | routers | fault | requests/s | missed | rolled back | late | open | largest exposure |" +
                " over bound | stop ms | sent to stopped |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n"
        private const val LATE_SHARE = 0.01
        private const val WRONG_SHARE = 0.005
        private const val ROLLBACK_MS = 5_000
    }
}
