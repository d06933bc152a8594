package corneltrack.policy.placement

import corneltrack.world.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

private const val RETENTION_MS = 20_000L

class EnginePlacementTest {
    private val engines = listOf("a", "b", "c", "d").map { engine(it) }
    private val limits = PlacementRequest(generation(1, 4_000, 6_000), 850.0, 300.0, 15_000.0)

    @Test
    fun `requests that share a beginning meet at one engine while its queue is short`() {
        val first = chosen(limits)
        val second = chosen(limits.copy(generation = generation(1, 4_000, 2_000)))

        assertEquals(first.candidate.id, second.candidate.id, "the second request's engine")
        assertEquals(2_000, second.prefillTokens, "only its own part is unread")
    }

    @Test
    fun `another engine takes over when the queue at the home grows past the limit`() {
        val home = chosen(limits).candidate
        repeat(8) { home.load.onSent(generation(9, 0, 6_000), 6_000, 0) }

        assertTrue(chosen(limits).candidate.id != home.id, "a request past the home's limit goes elsewhere")
    }

    @Test
    fun `a busy engine that would read the beginning again refuses and an idle one does not`() {
        val home = chosen(limits).candidate
        repeat(8) { home.load.onSent(generation(9, 0, 6_000), 6_000, 0) }
        val others = engines.filter { it.id != home.id }
        assertIs<PlacementDecision.Chosen>(place(limits))

        others.forEach { it.load.onSent(generation(9, 0, 6_000), 6_000, 0) }

        assertIs<PlacementDecision.Refused>(place(limits))
        assertIs<PlacementDecision.Chosen>(place(limits.copy(generation = generation(3, 0, 6_000))))
    }

    @Test
    fun `a workspace far below its share may have a beginning read again where its home is full`() {
        val home = chosen(limits).candidate
        repeat(8) { home.load.onSent(generation(9, 0, 6_000), 6_000, 0) }
        engines.filter { it.id != home.id }.forEach { it.load.onSent(generation(9, 0, 6_000), 6_000, 0) }
        val starved = admissionLimits(1_000, 0, fairShareRatio = 0.2)
        val served = admissionLimits(1_000, 0, fairShareRatio = 0.65)

        assertIs<PlacementDecision.Chosen>(place(limits.copy(missWeight = starved.missWeight)))
        assertIs<PlacementDecision.Refused>(place(limits.copy(missWeight = served.missWeight)))
    }

    @Test
    fun `a request that no engine can start in time is refused at once with the time until one can`() {
        engines.forEach { engine -> repeat(10) { engine.load.onSent(generation(9, 0, 6_000), 6_000, 0) } }

        val refused = assertIs<PlacementDecision.Refused>(place(limits))

        assertEquals(RefusalReason.LATE_START, refused.reason)
        assertTrue(refused.retryAfterMs in 200..2_000, "expected the excess of the wait, found ${refused.retryAfterMs}")
    }

    @Test
    fun `a prompt too long for the objective starts at an idle engine but not behind a queue`() {
        val giant = limits.copy(generation = generation(2, 4_000, 60_000))
        assertIs<PlacementDecision.Chosen>(place(giant))
        engines.forEach { it.load.onSent(generation(9, 0, 20_000), 20_000, 0) }

        assertIs<PlacementDecision.Refused>(place(giant))
    }

    @Test
    fun `an answer that cannot end in time is refused`() {
        val refused = assertIs<PlacementDecision.Refused>(place(limits.copy(timeLeftMs = 400.0)))

        assertEquals(RefusalReason.LATE_FINISH, refused.reason)
    }

    @Test
    fun `an engine whose streams pause too long gets nothing more to read until they flow`() {
        val strict = limits.copy(pauseLimitMs = 500.0)
        engines.forEach { engine -> repeat(20) { engine.load.onEvent(430, 6, 0) } }

        val refused = assertIs<PlacementDecision.Refused>(place(strict))
        assertEquals(RefusalReason.LONG_PAUSES, refused.reason)

        engines.forEach { engine -> repeat(20) { engine.load.onEvent(60, 6, 100) } }
        assertIs<PlacementDecision.Chosen>(placeGeneration(strict, engines, RETENTION_MS, 100))
    }

    @Test
    fun `an engine without a place or memory is passed over`() {
        val full = engine("full", batchSlots = 1).also { it.load.onSent(generation(9, 0, 10), 10, 0) }
        val small = engine("small", kvCacheTokens = 1_000)

        assertEquals(RefusalReason.NO_PLACE, refusal(listOf(full)))
        assertEquals(RefusalReason.NO_MEMORY, refusal(listOf(small)))
        assertEquals(RefusalReason.NO_ENGINE, refusal(emptyList()))
    }

    @Test
    fun `distance counts against the limit and not against the home of a beginning`() {
        val far = engines.map { engine(it.id.value, networkDelayMs = 125.0) }
        val near = engine("near")
        val home = chosen(limits, far)
        home.candidate.prefixCache.onSent(limits.generation.segments, 0, RETENTION_MS)

        assertEquals(home.candidate.id, chosen(limits, far + near).candidate.id)
        val strict = limits.copy(waitLimitMs = 100.0, queueLimitMs = 100.0, generation = generation(1, 4_000, 10))
        assertIs<PlacementDecision.Refused>(placeGeneration(strict, far, RETENTION_MS, 0))
    }

    private fun chosen(request: PlacementRequest, among: List<EngineCandidate> = engines): PlacementDecision.Chosen {
        val chosen = assertIs<PlacementDecision.Chosen>(placeGeneration(request, among, RETENTION_MS, 0))
        chosen.candidate.prefixCache.onSent(request.generation.segments, 0, RETENTION_MS)
        return chosen
    }

    private fun place(request: PlacementRequest) = placeGeneration(request, engines, RETENTION_MS, 0)

    private fun refusal(among: List<EngineCandidate>): RefusalReason =
        assertIs<PlacementDecision.Refused>(placeGeneration(limits, among, RETENTION_MS, 0)).reason
}

internal fun engine(
    name: String,
    batchSlots: Int = 64,
    kvCacheTokens: Long = 500_000,
    networkDelayMs: Double = 1.0,
): EngineCandidate =
    EngineCandidate(EndpointId(name), EngineLoad(), PrefixCacheEstimate(), batchSlots, kvCacheTokens, networkDelayMs, 0.0)

/** A request about [subject] with [shared] tokens that others share and [own] of its own. */
internal fun generation(subject: Long, shared: Int, own: Int, output: Int = 100): Generation =
    Generation(promptSegments(listOf(subject, subject * 31 + own), listOf(shared, own)), shared + own, output)
