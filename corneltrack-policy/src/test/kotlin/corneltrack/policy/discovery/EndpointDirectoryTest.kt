package corneltrack.policy.discovery

import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.MemberState
import corneltrack.world.PoolId
import corneltrack.world.routing.EndpointEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class EndpointDirectoryTest {
    private val directory = EndpointDirectory(graceMs = 2_500)
    private val id = EndpointId("one")

    @Test
    fun `an entry older than the known one changes nothing`() {
        directory.onEntry(entry(sequence = 5, state = MemberState.LEAVING), 0)

        assertEquals(DirectoryChange.NONE, directory.onEntry(entry(sequence = 4), 10))
        assertEquals(MemberState.LEAVING, known()?.entry?.endpoint?.state)
    }

    @Test
    fun `an entry older than the removed one does not restore the endpoint`() {
        directory.onEntry(entry(sequence = 5), 0)
        directory.onRemoved(id, storeRecoveredMs = null, 10)

        directory.onEntry(entry(sequence = 4), 20)

        assertEquals(null, known())
    }

    @Test
    fun `an endpoint that restarts under the same name is replaced`() {
        directory.onEntry(entry(born = 100, sequence = 50), 0)

        assertEquals(DirectoryChange.REPLACED, directory.onEntry(entry(born = 200, sequence = 1), 10))
        assertEquals(DirectoryChange.NONE, directory.onEntry(entry(born = 100, sequence = 51), 20))
        assertEquals(200, known()?.entry?.startedAtMs)
    }

    @Test
    fun `an entry that expired while the store was unavailable is kept for the grace time`() {
        directory.onEntry(entry(sequence = 1), 0)

        assertEquals(DirectoryChange.LAPSING, directory.onRemoved(id, storeRecoveredMs = 100, 100))
        assertEquals(emptyList(), directory.expire(2_599))
        assertNotNull(known())
        assertEquals(listOf(id), directory.expire(2_600))
        assertEquals(null, known())
    }

    @Test
    fun `the grace time starts when the store recovers, not at the removal`() {
        directory.onEntry(entry(sequence = 1), 0)

        assertEquals(DirectoryChange.LAPSING, directory.onRemoved(id, storeRecoveredMs = 100, 2_300))
        assertEquals(listOf(id), directory.expire(2_600))
    }

    @Test
    fun `a removal after the grace time takes effect at once`() {
        directory.onEntry(entry(sequence = 1), 0)

        assertEquals(DirectoryChange.REMOVED, directory.onRemoved(id, storeRecoveredMs = 100, 2_600))
    }

    @Test
    fun `an endpoint that is listed again does not expire`() {
        directory.onEntry(entry(sequence = 1), 0)
        directory.onRemoved(id, storeRecoveredMs = 100, 100)
        directory.onEntry(entry(sequence = 2), 1_000)

        assertEquals(emptyList(), directory.expire(10_000))
    }

    @Test
    fun `listing an endpoint again within the grace time is a change to share with peers`() {
        directory.onEntry(entry(sequence = 1), 0)
        directory.onRemoved(id, storeRecoveredMs = 100, 100)

        assertEquals(DirectoryChange.LISTED_AGAIN, directory.onEntry(entry(sequence = 2), 1_000))
        assertEquals(DirectoryChange.NONE, directory.onEntry(entry(sequence = 3), 2_000))
    }

    @Test
    fun `a leaving endpoint gets no grace time`() {
        directory.onEntry(entry(sequence = 1, state = MemberState.LEAVING), 0)

        assertEquals(DirectoryChange.REMOVED, directory.onRemoved(id, storeRecoveredMs = 100, 100))
    }

    @Test
    fun `neither a suspension nor a wall clock set back makes cached state appear fresher`() {
        val earlier = ClockReading(monotonicMs = 1_000, wallClockMs = 50_000)

        assertEquals(4_000, ClockReading(monotonicMs = 1_500, wallClockMs = 54_000).since(earlier))
        assertEquals(3_000, ClockReading(monotonicMs = 4_000, wallClockMs = 48_000).since(earlier))
    }

    private fun known() = directory.endpoints[id]

    private fun entry(born: Long = 100, sequence: Long, state: MemberState = MemberState.LIVE): EndpointEntry {
        val endpoint = Endpoint(id, PoolId("pool"), DataCentreId("here"), "127.0.0.1:1", state)
        return EndpointEntry(endpoint, born, sequence, concurrency = 4, coldStartRemainingMs = 0)
    }
}
