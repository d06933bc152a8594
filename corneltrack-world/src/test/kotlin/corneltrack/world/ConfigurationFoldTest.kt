package corneltrack.world

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ConfigurationFoldTest {
    private val target = Target(TargetKind.DATA_CENTRE, "oita")

    @Test
    fun `of two changes of a subject based on the same version only the first is accepted`() {
        val first = record("a", SetDefault(Terms(weight = 2.0)))
        val second = record("b", SetDefault(Terms(weight = 3.0)))
        val state = Configuration().apply(0, first).apply(1, second)
        assertEquals(2.0, state.agreement.default.weight)
        assertEquals(listOf(Verdict.ACCEPTED, Verdict.LOST_RACE), state.history.map { it.verdict })
    }

    @Test
    fun `changes of different subjects do not conflict`() {
        val state = Configuration().apply(0, record("a", SetDefault(Terms()))).apply(1, record("b", TakeOut(target)))
        assertEquals(setOf(target), state.takenOut)
        assertEquals(1, state.version)
    }

    @Test
    fun `a change that is appended twice takes effect once`() {
        val change = record("a", TakeOut(target))
        val state = Configuration().apply(0, change).apply(1, record("b", BringBack(target), basedOn = 0))
        assertEquals(emptySet(), state.apply(2, change).takenOut)
    }

    @Test
    fun `an invalid change is rejected with all findings and changes nothing`() {
        val invalid = AgreementException(WorkspaceId("unknown"), Terms(weight = -1.0, cap = 7.0), "")
        val state = Configuration().apply(0, record("a", SetException(invalid)))
        assertEquals(Verdict.INVALID, state.history.single().verdict)
        val paths = state.history.single().findings.map { it.path }
        assertEquals(
            listOf("exception.terms.weight", "exception.terms.cap", "exception.reason", "exception.workspace"),
            paths,
        )
        assertEquals(-1, state.version)
    }

    @Test
    fun `the offset never decreases in whatever order pages arrive`() {
        val random = Random(SEED)
        val entries = randomEntries(random)
        val expected = fold(Configuration(), entries, oldestOffset = 0)
        repeat(100) {
            var state = Configuration()
            while (state.offset < entries.last().offset) {
                val from = random.nextInt((state.offset + 2).toInt())
                val page = entries.drop(from).take(random.nextInt(1, 20))
                val next = fold(state, page, oldestOffset = 0)
                assertEquals(maxOf(state.offset, page.last().offset), next.offset, "seed $SEED")
                state = next
            }
            assertEquals(expected, state, "seed $SEED")
        }
    }

    @Test
    fun `a new router reaches the same state from a snapshot after older records expired`() {
        val entries = randomEntries(Random(SEED))
        val expected = fold(Configuration(), entries, oldestOffset = 0)
        val snapshot = fold(Configuration(), entries.take(30), oldestOffset = 0)
        val snapshotEntry = StreamEntry(entries.last().offset + 1, SnapshotRecord(snapshot))
        val retained = entries.drop(28) + snapshotEntry
        val state = fold(Configuration(), retained, oldestOffset = 28)
        assertEquals(expected.copy(offset = snapshotEntry.offset), state)
    }

    @Test
    fun `a gap that no snapshot covers is reported`() {
        val entries = randomEntries(Random(SEED)).drop(10)
        assertEquals(FoldResult.Gap(-1, 10), Configuration().fold(entries, oldestOffset = 10))
    }

    private fun fold(state: Configuration, entries: List<StreamEntry>, oldestOffset: Long): Configuration =
        assertIs<FoldResult.Folded>(state.fold(entries, oldestOffset)).configuration

    private fun randomEntries(random: Random): List<StreamEntry> = (0L until 60).map { offset ->
        val change = when (random.nextInt(3)) {
            0 -> SetDefault(Terms(weight = random.nextInt(1, 9).toDouble()))
            1 -> TakeOut(Target(TargetKind.ENDPOINT, "e${random.nextInt(4)}"))
            else -> BringBack(Target(TargetKind.ENDPOINT, "e${random.nextInt(4)}"))
        }
        StreamEntry(offset, record("c$offset", change, basedOn = random.nextLong(-1, offset + 1)))
    }

    private fun record(id: String, change: Change, basedOn: Long = -1) =
        ChangeRecord(id, basedOn, "operator", "a reason", 0, change)

    private companion object {
        const val SEED = 11
    }
}
