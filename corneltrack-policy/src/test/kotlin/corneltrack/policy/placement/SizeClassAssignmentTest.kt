package corneltrack.policy.placement

import corneltrack.world.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SizeClassAssignmentTest {
    private val assignment = SizeClassAssignment(listOf(14_000, 24_000))
    private val engines = (1..13).map { EndpointId("engine-$it") }

    @Test
    fun `every engine serves short prompts if there are no long ones`() {
        assignment.onRequest(generation(1, 0, 1_000), 0)

        assertEquals(setOf(0), assignment.assign(engines).values.toSet())
        assertEquals(engines.toSet(), assignment.assign(engines).keys)
    }

    @Test
    fun `each size class gets engines in proportion to its tokens`() {
        repeat(60) { assignment.onRequest(generation(1, 0, 1_000), 0) }
        assignment.onRequest(generation(1, 0, 20_000), 0)
        assignment.onRequest(generation(1, 0, 40_000), 0)

        val counts = assignment.assign(engines).values.groupingBy { it }.eachCount()

        assertEquals(13, counts.values.sum())
        assertTrue(counts.getValue(2) in 4..5, "expected a third of 13 for the longest, found $counts")
        assertTrue(counts.getValue(1) in 2..3, "expected a sixth of 13 for the middle, found $counts")
    }

    @Test
    fun `routers that know the same engines assign them alike`() {
        val other = SizeClassAssignment(listOf(14_000, 24_000))
        listOf(assignment, other).forEach { each ->
            repeat(9) { each.onRequest(generation(1, 0, 10_000), 0) }
            each.onRequest(generation(1, 0, 30_000), 0)
        }

        assertEquals(assignment.assign(engines), other.assign(engines.reversed()))
    }

    @Test
    fun `a long prompt among many short ones has an engine`() {
        repeat(1_000) { assignment.onRequest(generation(1, 0, 5_000), 0) }
        assignment.onRequest(generation(1, 0, 30_000), 0)

        (0..13).forEach { count ->
            val available = engines.take(count)
            assertEquals(
                count > 0,
                assignment.eligibleEngines(generation(1, 0, 30_000), available).isNotEmpty(),
                "with $count engines",
            )
        }
    }

    @Test
    fun `short prompts may go to engines of longer ones but not the reverse`() {
        repeat(60) { assignment.onRequest(generation(1, 0, 1_000), 0) }
        assignment.onRequest(generation(1, 0, 40_000), 0)

        val long = assignment.eligibleEngines(generation(1, 0, 40_000), engines)

        assertEquals(engines.toSet(), assignment.eligibleEngines(generation(1, 0, 1_000), engines).keys)
        assertTrue(long.size in 1..7 && long.values.all { it == 0 }, "expected 1 to 7 engines, found $long")
    }

    @Test
    fun `a single engine serves every size class, and an empty fleet is valid`() {
        assignment.onRequest(generation(1, 0, 30_000), 0)

        assertEquals(mapOf(engines[0] to 0), assignment.assign(engines.take(1)))
        assertEquals(emptyMap(), assignment.assign(emptyList()))
    }
}
