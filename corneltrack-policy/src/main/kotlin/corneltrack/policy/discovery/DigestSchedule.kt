package corneltrack.policy.discovery

/**
 * Returns whether the peer at [index] of [peers] gets the digest number [digest].
 *
 * Each digest goes to at most [perDigest] peers, so that a router sends as many datagrams in a large fleet as in a
 * small one, and each peer gets one in digest.
 *
 * @param interval in how many digests a peer gets one where there are few.
 */
public fun isDigestDue(digest: Long, index: Int, peers: Int, perDigest: Int, interval: Int): Boolean {
    val cycle = interval * maxOf(1, (peers + perDigest - 1) / perDigest)
    return (digest + index) % cycle == 0L
}
