package corneltrack.router

import corneltrack.policy.Claim
import corneltrack.router.callers.DEFAULT_RETRY_AFTER_MS
import corneltrack.router.callers.Outcome
import corneltrack.router.callers.Refusal
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.util.Base64
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicLong

private const val OUTCOME_POLL_MS = 1_000L

/**
 * Runs each request with an idempotency key at most once in the fleet.
 *
 * The key is claimed in the platform's log. A duplicate, a later request with the same key, waits for the response to
 * the first request and receives a replay of it. If the router of the first request has left the fleet or restarted,
 * the outcome is unknown and the duplicate is refused. If the first request did not run, the duplicate claims the key
 * anew.
 */
internal class IdempotentRequests(
    private val context: RouterContext,
    private val incarnation: String,
    private val claims: ClaimStream,
    private val wallClock: Clock,
) {
    val claimOutcomes = ClaimOutcomes()
    private val sequence = AtomicLong()

    /** Claims [key] for [request] and runs it, or handles it as a duplicate if the key is already claimed. */
    fun submit(request: RoutedRequest, key: String) = claim(request, newClaim(request, key))

    private fun newClaim(request: RoutedRequest, key: String): Claim {
        val identity = request.identity
        val scope = "${identity.workspace} ${identity.pool.id}"
        return Claim(
            key = digest(scope.toByteArray(), key.toByteArray()),
            claimId = "$incarnation-${sequence.incrementAndGet()}",
            owner = context.settings.id,
            incarnation = incarnation,
            digest = identity.fingerprint,
            atMs = wallClock(),
        )
    }

    private fun claim(request: RoutedRequest, claim: Claim) {
        claimOutcomes.begin(claim.claimId)
        claims.claim(claim).whenCompleteAsync({ result, failure ->
            when {
                failure != null -> refuseNotClaimed(request, claim, failure.toString())
                result is ClaimResult.Won -> run(request, claim)
                result is ClaimResult.Lost -> handleDuplicate(request, claim, result.winner)
                result is ClaimResult.Unavailable -> refuseNotClaimed(request, claim, result.reason)
            }
        }, request.eventLoop)
    }

    private fun refuseNotClaimed(request: RoutedRequest, claim: Claim, reason: String) {
        claimOutcomes.end(claim.claimId, ClaimOutcome(ClaimState.NOT_RUN))
        request.sink.refuse(LOG_UNAVAILABLE.copy(message = "The key could not be claimed: $reason."))
    }

    private fun run(request: RoutedRequest, claim: Claim) {
        val recording = RecordingSink(request.sink) { claimOutcomes.end(claim.claimId, it) }
        request.recordTo(recording)
        context.runner.submit(request)
    }

    private fun handleDuplicate(request: RoutedRequest, claim: Claim, winner: Claim) {
        claimOutcomes.remove(claim.claimId)
        if (winner.digest != claim.digest) {
            request.sink.refuse(KEY_REUSED)
            return
        }
        outcome(winner).whenCompleteAsync({ outcome, _ ->
            val timedOut = context.clock() >= request.deadlineMs
            when {
                outcome == null || outcome.state == ClaimState.UNKNOWN -> request.sink.refuse(OUTCOME_UNKNOWN)
                outcome.state == ClaimState.NOT_RUN ->
                    claim(request, claim.copy(claimId = "${claim.claimId}+", supersedes = winner.claimId))
                outcome.state == ClaimState.DONE -> replay(request, outcome.response)
                timedOut -> request.sink.refuse(STILL_RUNNING)
                else -> handleDuplicate(request, claim, winner)
            }
        }, request.eventLoop)
    }

    private fun outcome(winner: Claim): CompletableFuture<ClaimOutcome?> {
        val owner = context.views.current.instances[winner.owner]
        return when {
            winner.incarnation == incarnation -> claimOutcomes.outcome(winner.claimId, OUTCOME_POLL_MS).thenApply { it }
            owner == null -> CompletableFuture.completedFuture(null)
            else -> context.peers.claimOutcome(owner, winner.claimId, OUTCOME_POLL_MS)
        }
    }

    private fun replay(request: RoutedRequest, response: StoredResponse?) {
        if (response == null) {
            request.sink.refuse(ALREADY_DONE)
            return
        }
        val body = Base64.getDecoder().decode(response.body)
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status))
        head.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, response.contentType)
            .setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
        request.sink.head(head)
        request.sink.content(Unpooled.wrappedBuffer(body))
        request.sink.end()
    }
}

private val LOG_UNAVAILABLE = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "log_unavailable",
    "The key could not be claimed.",
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
)
private val KEY_REUSED = Refusal(
    HttpResponseStatus.UNPROCESSABLE_ENTITY,
    "key_reused",
    "This Idempotency-Key was used for another request.",
)
private val OUTCOME_UNKNOWN = Refusal(
    HttpResponseStatus.CONFLICT,
    "first_unknown",
    "A request with this key was begun before and its outcome is unknown; it will not run again.",
    Outcome.UNKNOWN,
)
private val STILL_RUNNING = Refusal(
    HttpResponseStatus.CONFLICT,
    "still_running",
    "A request with this key is still running.",
    Outcome.UNKNOWN,
)
private val ALREADY_DONE = Refusal(
    HttpResponseStatus.CONFLICT,
    "already_done",
    "A request with this key is done; its answer was too large to keep.",
    Outcome.DONE,
)
