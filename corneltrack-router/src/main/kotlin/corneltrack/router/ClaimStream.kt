package corneltrack.router

import corneltrack.policy.Claim
import corneltrack.policy.ClaimTable
import corneltrack.wire.AppendResult
import corneltrack.wire.LogClient
import corneltrack.wire.LogPage
import corneltrack.wire.ReadResult
import corneltrack.wire.wireJson
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private const val CLAIMS_STREAM = "claims"
private const val BATCH_DELAY_MS = 5L
private const val MAXIMUM_BATCH_SIZE = 500
private const val MAXIMUM_READ_ATTEMPTS = 3

/** The result of claiming a key. */
internal sealed interface ClaimResult {
    /** The claim is the first of its key, so its owner may run the request. */
    data object Won : ClaimResult

    /** Another claim of the key came first. */
    data class Lost(val winner: Claim) : ClaimResult

    /** The result could not be determined; the claim may or may not be in the log. */
    data class Unavailable(val reason: String) : ClaimResult
}

/**
 * Claims idempotency keys in the platform's log, in batches.
 *
 * A claim is decided only after the stream has been read up to it, so that all routers find the same winner. If the
 * response to an append is lost, the stream is read up to its end to find out whether the append succeeded.
 */
internal class ClaimStream(
    private val log: LogClient,
    private val executor: ScheduledExecutorService,
    retentionMs: Long,
    private val wallClock: Clock,
) {
    private class PendingClaim(val claim: Claim, val result: CompletableFuture<ClaimResult>)

    private val table = ClaimTable(retentionMs)
    private val pending = ArrayDeque<PendingClaim>()
    private var scheduled = false

    /** The number of keys with a claim. */
    @Volatile
    var keyCount: Int = 0
        private set

    /** Submits [claim]. The result completes on the executor. */
    fun claim(claim: Claim): CompletableFuture<ClaimResult> {
        val result = CompletableFuture<ClaimResult>()
        executor.execute {
            val winner = table.winner(claim.key)
            if (winner != null && winner.claimId != claim.supersedes) {
                result.complete(ClaimResult.Lost(winner))
            } else {
                enqueue(PendingClaim(claim, result))
            }
        }
        return result
    }

    private fun enqueue(next: PendingClaim) {
        pending.addLast(next)
        if (!scheduled) {
            scheduled = true
            executor.schedule(::flush, BATCH_DELAY_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun flush() {
        scheduled = false
        val batch = generateSequence { pending.removeFirstOrNull() }.take(MAXIMUM_BATCH_SIZE).toList()
        if (pending.isNotEmpty()) {
            scheduled = true
            executor.schedule(::flush, BATCH_DELAY_MS, TimeUnit.MILLISECONDS)
        }
        val data = wireJson.encodeToString(batch.map { it.claim })
        log.append(CLAIMS_STREAM, data).whenCompleteAsync({ result, failure ->
            when {
                failure != null -> completeBatch(batch, failure.toString())
                result is AppendResult.Refused -> completeBatch(batch, result.reason)
                result is AppendResult.Appended -> readUpTo(batch, result.offset, MAXIMUM_READ_ATTEMPTS)
                else -> readUpTo(batch, null, MAXIMUM_READ_ATTEMPTS)
            }
        }, executor)
    }

    /** Applies the stream up to [offset] or, if that is null, up to its current end, and completes [batch]. */
    private fun readUpTo(batch: List<PendingClaim>, offset: Long?, attempts: Int) {
        if (offset != null && table.nextOffset > offset) {
            completeBatch(batch, "the claim is not in the stream")
            return
        }
        log.read(CLAIMS_STREAM, table.nextOffset).whenCompleteAsync({ result, _ ->
            val page = (result as? ReadResult.Page)?.page
            page?.let { fold(it) }
            when {
                page != null && offset == null && table.nextOffset >= page.next ->
                    completeBatch(batch, "append unanswered")
                page != null && page.records.isNotEmpty() -> readUpTo(batch, offset, attempts)
                attempts > 0 -> readUpTo(batch, offset, attempts - 1)
                else -> completeBatch(batch, "the log does not answer")
            }
        }, executor)
    }

    private fun fold(page: LogPage) {
        page.records.forEach { table.apply(it.offset, decode(it.data)) }
        table.expire(wallClock())
        keyCount = table.size
    }

    private fun decode(data: String): List<Claim> =
        try {
            wireJson.decodeFromString<List<Claim>>(data)
        } catch (_: SerializationException) {
            emptyList()
        }

    private fun completeBatch(batch: List<PendingClaim>, reason: String) {
        batch.forEach { pending ->
            val winner = table.winner(pending.claim.key)
            val result = when {
                winner?.claimId == pending.claim.claimId -> ClaimResult.Won
                winner != null && winner.claimId != pending.claim.supersedes -> ClaimResult.Lost(winner)
                else -> ClaimResult.Unavailable(reason)
            }
            pending.result.complete(result)
        }
    }
}
