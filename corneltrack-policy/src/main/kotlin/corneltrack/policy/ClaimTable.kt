package corneltrack.policy

import corneltrack.world.InstanceId
import kotlinx.serialization.Serializable

/**
 * Claims the right to run the request with an idempotency key.
 *
 * @property key a digest of workspace, pool and the caller's key.
 * @property claimId unique per claim.
 * @property owner the router that will run the request.
 * @property incarnation the owner's incarnation; another incarnation knows nothing of the claim.
 * @property digest a digest of method, path and body, so that a key is not reused for another request.
 * @property atMs the owner's clock, in ms since the epoch.
 * @property supersedes the claim that this one replaces because its owner said that it never ran, or null.
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
 * Folds the stream of claims: the first claim of a key wins, unless a later one rightly supersedes it.
 *
 * Every router that folds the same stream names the same winner. Claims older than [retentionMs], by the clocks in the
 * claims themselves, give way to new ones. Not thread-safe.
 */
public class ClaimTable(private val retentionMs: Long) {
    private val winners = LinkedHashMap<String, Claim>()
    private var next = 0L

    /** The offset of the next record to fold. */
    public val nextOffset: Long get() = next

    /** The number of keys remembered. */
    public val size: Int get() = winners.size

    /** Takes in the claims of the record at [offset]. Records below [nextOffset] are ignored. */
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

    /** Returns the winning claim of [key], or null where there is none. */
    public fun winner(key: String): Claim? = winners[key]

    /**
     * Forgets claims older than twice the retention at [nowMs].
     *
     * Any new claim of their keys would win all the same, so routers need not forget at the same moment as long as
     * their clocks differ by less than the retention.
     */
    public fun expire(nowMs: Long) {
        val oldest = winners.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next().atMs > 2 * retentionMs) {
            oldest.remove()
        }
    }
}
