package corneltrack.policy.discovery

import kotlin.test.Test
import kotlin.test.assertEquals

private const val MAXIMUM_AGE_MS = 2_400L

class CachedViewTest {
    @Test
    fun `an entry that a current copy lacks is absent`() =
        assertEquals(Lookup.Absent, view(MAXIMUM_AGE_MS).find { it["missing"] })

    @Test
    fun `whether there is an entry that an old copy lacks is not known`() =
        assertEquals(Lookup.NotKnown, view(MAXIMUM_AGE_MS + 1).find { it["missing"] })

    @Test
    fun `an entry that a copy has is found however old the copy is`() =
        assertEquals(Lookup.Found(1), view(Long.MAX_VALUE).find { it["known"] })

    private fun view(ageMs: Long) = CachedView(mapOf("known" to 1), ageMs, MAXIMUM_AGE_MS)
}
