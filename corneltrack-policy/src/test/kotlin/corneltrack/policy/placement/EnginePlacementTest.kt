package corneltrack.policy.placement

import corneltrack.world.DataCentreId
import corneltrack.world.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

private const val RETENTION_MS = 20_000L
private val CACHING = PrefixCaching(RETENTION_MS)

class EnginePlacementTest {
    private val engines = listOf("a", "b", "c", "d").map { engine(it) }
    private val request = PlacementRequest(generation(1, 4_000, 6_000), 850.0, 300.0, 15_000.0)

    @Test
    fun `requests with a shared prefix go to one engine while its queue is short`() {
        val first = chosen(request)
        val second = chosen(request.copy(generation = generation(1, 4_000, 2_000)))

        assertEquals(first.candidate.id, second.candidate.id, "the second request's engine")
        assertEquals(2_000, second.prefillTokens, "only its own segment is prefilled")
    }

    @Test
    fun `another engine takes over when the queue of the preferred engine exceeds the limit`() {
        val preferred = chosen(request).candidate
        repeat(8) { preferred.load.onSent(generation(9, 0, 6_000), 6_000, 0) }

        assertTrue(chosen(request).candidate.id != preferred.id, "expected another engine than the preferred one")
    }

    @Test
    fun `a busy engine that would prefill the prefix again is refused and an idle one is not`() {
        val preferred = chosen(request).candidate
        repeat(8) { preferred.load.onSent(generation(9, 0, 6_000), 6_000, 0) }
        val others = engines.filter { it.id != preferred.id }
        assertIs<PlacementDecision.Chosen>(place(request))

        others.forEach { it.load.onSent(generation(9, 0, 6_000), 6_000, 0) }

        assertIs<PlacementDecision.Refused>(place(request))
        assertIs<PlacementDecision.Chosen>(place(request.copy(generation = generation(3, 0, 6_000))))
    }

    @Test
    fun `a workspace far below its fair share may have a prefix prefilled again if its preferred engine is full`() {
        val preferred = chosen(request).candidate
        repeat(8) { preferred.load.onSent(generation(9, 0, 6_000), 6_000, 0) }
        engines.filter { it.id != preferred.id }.forEach { it.load.onSent(generation(9, 0, 6_000), 6_000, 0) }
        val underserved = admissionLimits(1_000, 0, fairShareRatio = 0.2)
        val served = admissionLimits(1_000, 0, fairShareRatio = 0.65)

        assertIs<PlacementDecision.Chosen>(place(request.copy(missWeight = underserved.missWeight)))
        assertIs<PlacementDecision.Refused>(place(request.copy(missWeight = served.missWeight)))
    }

    @Test
    fun `a request that no engine can start in time is refused with the time until an engine can`() {
        engines.forEach { engine -> repeat(10) { engine.load.onSent(generation(9, 0, 6_000), 6_000, 0) } }

        val refused = assertIs<PlacementDecision.Refused>(place(request))

        assertEquals(RefusalReason.LATE_START, refused.reason)
        assertTrue(refused.retryAfterMs in 200..2_000, "expected 200 to 2,000 ms, found ${refused.retryAfterMs}")
    }

    @Test
    fun `a prompt too long for the objective starts at an idle engine but not behind a queue`() {
        val longPrompt = request.copy(generation = generation(2, 4_000, 60_000))
        assertIs<PlacementDecision.Chosen>(place(longPrompt))
        engines.forEach { it.load.onSent(generation(9, 0, 20_000), 20_000, 0) }

        assertIs<PlacementDecision.Refused>(place(longPrompt))
    }

    @Test
    fun `a request whose response cannot be complete in time is refused`() {
        val refused = assertIs<PlacementDecision.Refused>(place(request.copy(timeLeftMs = 400.0)))

        assertEquals(RefusalReason.LATE_FINISH, refused.reason)
    }

    @Test
    fun `an engine whose streams pause too long gets no prefill until the pauses are short again`() {
        val strict = request.copy(pauseLimitMs = 500.0)
        engines.forEach { engine -> repeat(20) { engine.load.onEvent(430, 6, 0) } }

        val refused = assertIs<PlacementDecision.Refused>(place(strict))
        assertEquals(RefusalReason.LONG_PAUSES, refused.reason)

        engines.forEach { engine -> repeat(20) { engine.load.onEvent(60, 6, 100) } }
        assertIs<PlacementDecision.Chosen>(placeGeneration(strict, engines, CACHING, 100))
    }

    @Test
    fun `an engine without a free batch slot or KV cache is not chosen`() {
        val full = engine("full", batchSlots = 1).also { it.load.onSent(generation(9, 0, 10), 10, 0) }
        full.prefixCache.onSent(request.generation.segments, 0, RETENTION_MS)
        val small = engine("small", kvCacheTokens = 1_000)

        assertEquals(RefusalReason.NO_PLACE, refusal(listOf(full)))
        assertEquals(RefusalReason.NO_MEMORY, refusal(listOf(small)))
        assertEquals(RefusalReason.NO_ENGINE, refusal(emptyList()))
    }

    @Test
    fun `network delay counts against the limit and not against the preferred engine`() {
        val far = engines.map { engine(it.id.value, networkDelayMs = 125.0) }
        val near = engine("near")
        val preferred = chosen(request, far)
        preferred.candidate.prefixCache.onSent(request.generation.segments, 0, RETENTION_MS)

        assertEquals(preferred.candidate.id, chosen(request, far + near).candidate.id)
        val strict = request.copy(waitLimitMs = 100.0, queueLimitMs = 100.0, generation = generation(1, 4_000, 10))
        assertIs<PlacementDecision.Refused>(placeGeneration(strict, far, CACHING, 0))
    }

    private fun chosen(
        request: PlacementRequest,
        candidates: List<EngineCandidate> = engines,
    ): PlacementDecision.Chosen {
        val chosen = assertIs<PlacementDecision.Chosen>(placeGeneration(request, candidates, CACHING, 0))
        chosen.candidate.prefixCache.onSent(request.generation.segments, 0, RETENTION_MS)
        return chosen
    }

    private fun place(request: PlacementRequest) = placeGeneration(request, engines, CACHING, 0)

    private fun refusal(candidates: List<EngineCandidate>): RefusalReason =
        assertIs<PlacementDecision.Refused>(placeGeneration(request, candidates, CACHING, 0)).reason
}

internal fun engine(
    name: String,
    batchSlots: Int = 64,
    kvCacheTokens: Long = 500_000,
    networkDelayMs: Double = 1.0,
): EngineCandidate =
    EngineCandidate(
        id = EndpointId(name),
        load = EngineLoad(),
        prefixCache = PrefixCacheEstimate(),
        batchSlots = batchSlots,
        kvCacheTokens = kvCacheTokens,
        networkDelayMs = networkDelayMs,
        dataCentre = DataCentreId("here"),
        penaltyMs = 0.0,
    )

/** A prompt about [subject]: a prefix of [shared] tokens that other prompts share and [own] tokens of its own. */
internal fun generation(subject: Long, shared: Int, own: Int, output: Int = 100): Generation =
    Generation(promptSegments(listOf(subject, subject * 31 + own), listOf(shared, own)), shared + own, output)
