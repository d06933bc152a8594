package corneltrack.policy.discovery

/**
 * Returns whether the peer at [index] of [peers] gets the digest number [turn].
 *
 * Each digest goes to at most [perDigest] peers, so that a router sends as many datagrams in a large fleet as in a
 * small one, and each peer gets one in turn.
 *
 * @param every in how many digests a peer gets one where there are few.
 */
public fun isDigestDue(turn: Long, index: Int, peers: Int, perDigest: Int, every: Int): Boolean {
    val cycle = every * maxOf(1, (peers + perDigest - 1) / perDigest)
    return (turn + index) % cycle == 0L
}
