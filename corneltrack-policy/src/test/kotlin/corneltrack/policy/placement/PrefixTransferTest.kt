package corneltrack.policy.placement

import corneltrack.world.DataCentreId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val RETENTION_MS = 10_000L
private const val SHARED_TOKENS = 13_000

/** 18 KB a token at 740 Gbit/s. */
private const val TRANSFER_MS_PER_TOKEN = 0.0002
private val COPYING = PrefixCaching(RETENTION_MS, TRANSFER_MS_PER_TOKEN, transferSuccessRate = 0.9)
private val NOT_COPYING = PrefixCaching(RETENTION_MS)

class PrefixTransferTest {
    private val engines = listOf("a", "b", "c", "d").map { engine(it) }
    private val generation = generation(1, SHARED_TOKENS, 3_000)
    private val request = PlacementRequest(generation, 850.0, 300.0, 6_000.0)

    @Test
    fun `a request beside a busy holder of its prefix is placed at an idle engine that copies the prefix`() {
        val holder = holderOfPrefix()
        holder.occupy()

        val chosen = assertIs<PlacementDecision.Chosen>(place(COPYING))

        assertNotEquals(holder.id, chosen.candidate.id)
        assertEquals(holder.id, chosen.transfer?.source?.id)
        assertEquals(SHARED_TOKENS, chosen.transfer?.tokens)
        assertTrue(chosen.prefillTokens < 5_000, "expected the own segment and a tenth, found ${chosen.prefillTokens}")
    }

    @Test
    fun `a request that would be refused for reading a prefix again is served where the prefix can be copied`() {
        val holder = holderOfPrefix()
        holder.occupy()
        engines.filter { it !== holder }.forEach { it.load.onSent(generation(9, 0, 1_000), 1_000, 0) }

        assertIs<PlacementDecision.Refused>(place(NOT_COPYING))
        assertIs<PlacementDecision.Chosen>(place(COPYING.copy(transferSuccessRate = 1.0)))
    }

    @Test
    fun `a prefix that was sent to an engine and is not confirmed is not copied from it`() {
        engines.first().prefixCache.onSent(generation.segments, 0, RETENTION_MS)
        engines.first().occupy()

        assertNull(assertIs<PlacementDecision.Chosen>(place(COPYING)).transfer)
    }

    @Test
    fun `a prefix that has not been used for the retention time is not copied`() {
        holderOfPrefix()

        assertEquals(0, transferTokens(nowMs = RETENTION_MS + 1))
        assertEquals(SHARED_TOKENS, transferTokens(nowMs = RETENTION_MS))
    }

    @Test
    fun `a prefix that its source turned out to lack is not copied from it again`() {
        val holder = holderOfPrefix()

        holder.prefixCache.onMissing(generation.sharedPrefixes)

        assertEquals(0, transferTokens(nowMs = 0))
    }

    @Test
    fun `nothing is copied where a copy takes about as long as the prefill`() {
        val holder = holderOfPrefix()
        val slowLink = COPYING.copy(transferMsPerToken = 0.01)
        val sources = PrefixSources(engines, generation, slowLink, 0)

        assertNull(sources.transferTo(engines.first { it !== holder }, 0))
    }

    @Test
    fun `the copy comes from a holder in the data centre of the target if there is one`() {
        val abroad = engine("abroad").copy(dataCentre = DataCentreId("there"))
        val near = engine("near")
        val target = engine("target")
        listOf(abroad, near).forEach { it.prefixCache.onConfirmed(generation.sharedPrefixes, 0) }

        val sources = PrefixSources(listOf(abroad, near), generation, COPYING, 0)

        assertEquals(near.id, sources.transferTo(target, 0)?.source?.id)
        assertEquals(abroad.id, sources.transferTo(target.copy(dataCentre = abroad.dataCentre), 0)?.source?.id)
    }

    @Test
    fun `only the part that the target lacks is copied`() {
        holderOfPrefix()
        val sources = PrefixSources(engines, generation, COPYING, 0)

        assertEquals(SHARED_TOKENS - 5_000, sources.transferTo(engine("target"), 5_000)?.tokens)
        assertNull(sources.transferTo(engine("target"), SHARED_TOKENS))
    }

    @Test
    fun `copies that never arrive are soon not relied on and arriving ones are again`() {
        val success = TransferSuccess()

        repeat(40) { success.onFirstEvent(savingMs = 270.0, lateMs = 280.0) }
        assertTrue(success.rate < 0.2, "after failures, found ${success.rate}")

        repeat(40) { success.onFirstEvent(savingMs = 270.0, lateMs = 10.0) }
        assertTrue(success.rate > 0.8, "after successes, found ${success.rate}")
    }

    @Test
    fun `a saving too short to stand out says nothing about copies`() {
        val success = TransferSuccess()
        val before = success.rate

        assertNull(success.onFirstEvent(savingMs = 5.0, lateMs = 300.0))
        assertEquals(before, success.rate)
    }

    private fun holderOfPrefix(): EngineCandidate {
        val holder = assertIs<PlacementDecision.Chosen>(place(NOT_COPYING)).candidate
        holder.prefixCache.onConfirmed(generation.sharedPrefixes, 0)
        return holder
    }

    private fun EngineCandidate.occupy() = repeat(8) { load.onSent(generation(9, 0, 6_000), 6_000, 0) }

    private fun place(caching: PrefixCaching) = placeGeneration(request, engines, caching, 0)

    private fun transferTokens(nowMs: Long): Int =
        PrefixSources(engines, generation, COPYING, nowMs).transferTo(engine("target"), 0)?.tokens ?: 0
}
