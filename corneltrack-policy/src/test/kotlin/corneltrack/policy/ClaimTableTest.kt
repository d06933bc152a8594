package corneltrack.policy

import corneltrack.world.InstanceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class ClaimTableTest {
    @Test
    fun `the claim at the lowest offset wins and replayed records change nothing`() {
        val random = Random(SEED)
        val records = (0 until 200).map { offset ->
            (0 until random.nextInt(1, 5)).map { claim("k${random.nextInt(20)}", "c$offset-$it") }
        }
        val first = LinkedHashMap<String, String>()
        records.flatten().forEach { first.putIfAbsent(it.key, it.claimId) }
        val table = ClaimTable(RETENTION_MS)
        records.forEachIndexed { offset, claims ->
            table.apply(offset.toLong(), claims)
            if (random.nextBoolean()) table.apply(offset.toLong(), claims.reversed())
        }
        first.forEach { (key, claimId) -> assertEquals(claimId, table.winner(key)?.claimId, "key $key, seed $SEED") }
    }

    @Test
    fun `a claim is superseded once, by the first claim that names it`() {
        val table = ClaimTable(RETENTION_MS)
        table.apply(0, listOf(claim("k", "a")))
        table.apply(1, listOf(claim("k", "b", supersedes = "a")))
        table.apply(2, listOf(claim("k", "c", supersedes = "a")))
        assertEquals("b", table.winner("k")?.claimId)
    }

    @Test
    fun `a claim is replaced by one that is newer by more than the retention`() {
        val table = ClaimTable(RETENTION_MS)
        table.apply(0, listOf(claim("k", "a", atMs = 0)))
        table.apply(1, listOf(claim("k", "b", atMs = RETENTION_MS)))
        assertEquals("a", table.winner("k")?.claimId)
        table.apply(2, listOf(claim("k", "c", atMs = RETENTION_MS + 1)))
        assertEquals("c", table.winner("k")?.claimId)
    }

    @Test
    fun `claims older than twice the retention expire`() {
        val table = ClaimTable(RETENTION_MS)
        table.apply(0, listOf(claim("k", "a", atMs = 0), claim("l", "b", atMs = RETENTION_MS)))
        table.expire(2 * RETENTION_MS)
        assertEquals(2, table.size)
        table.expire(2 * RETENTION_MS + 1)
        assertEquals(listOf(null, "b"), listOf("k", "l").map { table.winner(it)?.claimId })
    }

    private fun claim(key: String, id: String, atMs: Long = 0, supersedes: String? = null) =
        Claim(key, id, InstanceId("router"), "incarnation", "digest", atMs, supersedes)

    private companion object {
        const val SEED = 7
        const val RETENTION_MS = 1_000L
    }
}
