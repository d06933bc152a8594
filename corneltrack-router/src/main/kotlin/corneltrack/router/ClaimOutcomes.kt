package corneltrack.router

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val MAXIMUM_CLAIMS = 200_000
private const val MAXIMUM_STORED_BYTES = 32L * 1024 * 1024

/** The state of a claimed request at its owner. */
@Serializable
internal enum class ClaimState { RUNNING, DONE, NOT_RUN, UNKNOWN }

/**
 * A complete response that is stored for replays.
 *
 * @property body the body in Base64.
 */
@Serializable
internal data class StoredResponse(val status: Int, val contentType: String, val body: String)

/**
 * The outcome of a claimed request.
 *
 * @property response the stored response, or null if there is none, for example because it was too large.
 */
@Serializable
internal data class ClaimOutcome(val state: ClaimState, @SerialName("answer") val response: StoredResponse? = null)

/** Stores the outcomes of the claims that this router owns. Thread-safe. */
internal class ClaimOutcomes {
    private class Entry {
        val ended = CompletableFuture<ClaimOutcome>()
        var bytes = 0L
    }

    private val entries = LinkedHashMap<String, Entry>()
    private var storedBytes = 0L

    /** Records that the request of [claimId] may run from now on. Removes the oldest claim above [MAXIMUM_CLAIMS]. */
    @Synchronized
    fun begin(claimId: String) {
        entries[claimId] = Entry()
        if (entries.size > MAXIMUM_CLAIMS) {
            removeEntry(entries.keys.first())
        }
    }

    /** Removes a claim that did not win. */
    @Synchronized
    fun remove(claimId: String) = removeEntry(claimId)

    private fun removeEntry(claimId: String) {
        storedBytes -= entries.remove(claimId)?.bytes ?: 0
    }

    /** Records the outcome of [claimId]. The oldest responses are evicted above [MAXIMUM_STORED_BYTES]. */
    fun end(claimId: String, outcome: ClaimOutcome) {
        val entry = synchronized(this) {
            entries.getOrPut(claimId) { Entry() }.also {
                it.bytes = outcome.response?.body?.length?.toLong() ?: 0
                storedBytes += it.bytes
            }
        }
        entry.ended.complete(outcome)
        evictResponses()
    }

    /**
     * Returns the outcome of [claimId], or [ClaimState.RUNNING] if it has not ended within [waitMs].
     *
     * The outcome of a claim without a record here is [ClaimState.UNKNOWN].
     */
    fun outcome(claimId: String, waitMs: Long): CompletableFuture<ClaimOutcome> {
        val entry = synchronized(this) { entries[claimId] }
            ?: return CompletableFuture.completedFuture(ClaimOutcome(ClaimState.UNKNOWN))
        return entry.ended.copy().completeOnTimeout(ClaimOutcome(ClaimState.RUNNING), waitMs, TimeUnit.MILLISECONDS)
    }

    @Synchronized
    private fun evictResponses() {
        val oldest = entries.entries.iterator()
        while (storedBytes > MAXIMUM_STORED_BYTES && oldest.hasNext()) {
            val (claimId, entry) = oldest.next()
            if (entry.bytes > 0) {
                val outcome = entry.ended.getNow(ClaimOutcome(ClaimState.UNKNOWN))
                storedBytes -= entry.bytes
                entries[claimId] = Entry().apply { ended.complete(outcome.copy(response = null)) }
            }
        }
    }
}
