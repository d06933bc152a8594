package corneltrack.policy

import corneltrack.world.InstanceId
import kotlinx.serialization.Serializable

/**
 * A router's claim to run the request with an idempotency key.
 *
 * @property key the digest of workspace, pool and the caller's idempotency key.
 * @property claimId the unique identifier of the claim.
 * @property owner the router that runs the request if the claim wins.
 * @property incarnation the owner's incarnation; other incarnations of the owner have no record of the claim.
 * @property digest the digest of method, path and body, by which the reuse of a key for another request is detected.
 * @property atMs when the claim was made, by the owner's clock, in ms since the epoch.
 * @property supersedes the claim that this one replaces because its owner reported that it never ran, or null.
 */
@Serializable
public data class Claim(
    val key: String,
    val claimId: String,
    val owner: InstanceId,
    val incarnation: String,
    val digest: String,
    val atMs: Long,
    val supersedes: String? = null,
)

/**
 * Determines the winning claim of each key from the stream of claims.
 *
 * The first claim of a key wins, until a later one supersedes it or is more than [retentionMs] newer by the timestamps
 * in the claims. The result depends on the stream only, so all routers find the same winner. Not thread-safe.
 *
 * @param retentionMs how long a claim wins against new claims of its key, in ms.
 */
public class ClaimTable(private val retentionMs: Long) {
    private val winners = LinkedHashMap<String, Claim>()
    private var next = 0L

    /** The offset of the next record to apply. */
    public val nextOffset: Long get() = next

    /** The number of keys with a claim. */
    public val size: Int get() = winners.size

    /** Applies the claims of the record at [offset]. Records below [nextOffset] are ignored. */
    public fun apply(offset: Long, claims: List<Claim>) {
        if (offset < next) {
            return
        }
        next = offset + 1
        claims.forEach { claim ->
            val winner = winners[claim.key]
            if (winner == null || claim.supersedes == winner.claimId || claim.atMs - winner.atMs > retentionMs) {
                winners.remove(claim.key)
                winners[claim.key] = claim
            }
        }
    }

    /** Returns the winning claim of [key], or null if there is none. */
    public fun winner(key: String): Claim? = winners[key]

    /**
     * Removes claims that are older than twice the retention at [nowMs].
     *
     * A new claim would win against them anyway, so routers may remove them at different times as long as their clocks
     * differ by less than the retention.
     */
    public fun expire(nowMs: Long) {
        val oldest = winners.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next().atMs > 2 * retentionMs) {
            oldest.remove()
        }
    }
}
