package corneltrack.policy.discovery

/**
 * Whether a peer gets a digest.
 *
 * Each digest goes to at most [perDigest] peers, which are chosen round robin, so that a router sends no more datagrams
 * in a large fleet than in a small one.
 *
 * @param digest the sequence number of the digest.
 * @param index the index of the peer among all [peers].
 * @param interval the number of digests of which each peer gets one if there are no more than [perDigest] peers.
 */
public fun isDigestDue(digest: Long, index: Int, peers: Int, perDigest: Int, interval: Int): Boolean =
    (digest + index) % digestCycle(peers, perDigest, interval) == 0L

/** Returns the number of digests of which each peer gets one; see [isDigestDue]. */
public fun digestCycle(peers: Int, perDigest: Int, interval: Int): Int =
    interval * maxOf(1, (peers + perDigest - 1) / perDigest)
