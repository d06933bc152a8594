package corneltrack.policy.rollout

import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Runs [RolloutModel] for each combination of version, size of the fleet and fault.
 *
 * `-Dcorneltrack.rollout.seeds=200` runs the full matrix; `-Dcorneltrack.rollout.table=FILE` writes its table.
 */
class RolloutModelTest {
    @Test
    fun `bad versions are rolled back within their exposure and good ones complete`() {
        val rows = matrix().parallelStream().map { scenario -> ModelRow(scenario, SEEDS) }.toList()
        System.getProperty("corneltrack.rollout.table")?.let { file ->
            java.io.File(file).writeText(ModelRow.HEAD + rows.joinToString("") { it.text })
        }
        val broken = rows.flatMap { it.broken() }
        assertTrue(broken.isEmpty(), broken.joinToString("\n"))
    }

    private fun matrix(): List<ModelScenario> = ModelVersion.entries.flatMap { version ->
        FLEETS.flatMap { routers -> ModelFault.entries.map { ModelScenario(version, routers, it) } }
    }

    private companion object {
        val SEEDS: Int = Integer.getInteger("corneltrack.rollout.seeds", 2)
        val FLEETS = listOf(8, 60, 95)
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
        "missed $missed".takeIf { missed > MISSED_SHARE * results.size + 1 },
        "rolled back $rolledBack".takeIf { good && rolledBack > WRONG_SHARE * results.size + 1 },
        "late $late".takeIf { good && late > 0 && scenario.fault == ModelFault.CALM },
        "open $open".takeIf { open > 0 },
        "over bound $overBound".takeIf { overBound > 0 },
        "stop $stopMs ms".takeIf { !good && stopMs > ROLLBACK_MS },
        "sent to a stopped version $stopped".takeIf { stopped > 0 },
    ).map { "${scenario.text}: $it" }

    companion object {
        const val HEAD = "| version | routers | fault | missed | rolled back | late | open | largest exposure |" +
            " over bound | stop ms | sent to stopped |\n|---|---|---|---|---|---|---|---|---|---|---|\n"
        private const val MISSED_SHARE = 0.01
        private const val WRONG_SHARE = 0.005
        private const val ROLLBACK_MS = 5_000
    }
}
