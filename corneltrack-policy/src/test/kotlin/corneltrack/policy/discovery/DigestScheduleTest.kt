package corneltrack.policy.discovery

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DigestScheduleTest {
    @Test
    fun `if there are few peers, each gets every digest`() {
        (0 until 6).forEach { assertTrue(isDigestDue(digest = 7, index = it, peers = 6, perDigest = 6, interval = 1)) }
    }

    @Test
    fun `a digest goes to a bounded number of peers and each gets one in a cycle`() {
        for (peers in 1..800) {
            // In a cycle, each group of at most 8 peers takes 3 digests.
            val cycle = 3 * ((peers + 7) / 8)
            val targets = (0L until cycle).map { digest ->
                (0 until peers).filter { isDigestDue(digest, it, peers, perDigest = 8, interval = 3) }
            }

            assertTrue(targets.all { it.size <= 8 }, "expected at most 8 of $peers, found ${targets.maxOf { it.size }}")
            assertEquals((0 until peers).toList(), targets.flatten().sorted(), "each of $peers peers gets one")
        }
    }
}
