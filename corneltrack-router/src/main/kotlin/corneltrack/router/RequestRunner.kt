package corneltrack.router

import corneltrack.policy.AttemptResult
import corneltrack.policy.AttemptedRequest
import corneltrack.policy.NextStep
import corneltrack.policy.RetryBudget
import corneltrack.policy.decideNextStep
import corneltrack.router.callers.DEFAULT_RETRY_AFTER_MS
import corneltrack.router.callers.Outcome
import corneltrack.router.callers.Refusal
import corneltrack.wire.event
import corneltrack.world.PoolId
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponseStatus
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private val logger = LogManager.getLogger("corneltrack.router.RequestRunner")

/** Queues requests, runs their attempts and retries, and ensures that each receives exactly one response. */
internal class RequestRunner(
    private val views: RouterViews,
    private val settings: RouterSettings,
    private val clock: Clock,
    private val crashDetector: CrashDetector,
    private val metrics: RouterMetrics,
) {
    private val connections = EndpointConnections { endpoint, sent, received ->
        metrics.onRequestTraffic(endpoint.dataCentre, sent, received)
    }
    private val schedulers = ConcurrentHashMap<PoolId, PoolScheduler>()
    private val retryBudget = RetryBudget()
    private val openCount = AtomicInteger()
    val outcomes = AttemptOutcomes()

    /** The number of requests that are waiting or running. */
    val openRequests: Int get() = openCount.get()

    fun scheduler(pool: PoolId): PoolScheduler = schedulers.computeIfAbsent(pool) {
        PoolScheduler(it, views, settings.limits.spillAfterMs, EndpointChooser(crashDetector), ::startAttempt)
    }

    fun pools(): Collection<PoolScheduler> = schedulers.values

    /** Queues [request], or refuses it if it is quarantined or its workspace has too many requests waiting. */
    fun submit(request: RoutedRequest) {
        if (crashDetector.isQuarantined(request.identity.fingerprint)) {
            request.refuse(QUARANTINED)
            return
        }
        retryBudget.onAttempt()
        openCount.incrementAndGet()
        if (!scheduler(request.pool.id).submit(request, clock())) {
            finish(request, "waiting_limit")
            request.refuse(TOO_MANY_WAITING)
        }
    }

    /** Cancels a request whose caller has disconnected. */
    fun cancel(request: RoutedRequest) {
        request.cancelled = true
        if (scheduler(request.pool.id).remove(request)) {
            finish(request, "caller_left")
        } else {
            request.eventLoop.execute { request.attempt?.cancel() }
        }
    }

    /** Returns whether any lease to this router is valid in any pool. */
    fun hasLease(nowMs: Long): Boolean = schedulers.values.any { it.hasLease(nowMs) }

    /**
     * Refuses the waiting requests whose deadline has passed and, in pools without a valid lease for [isolationMs],
     * those that have waited that long.
     */
    fun expire(nowMs: Long, isolationMs: Long) {
        schedulers.values.forEach { scheduler ->
            val expired = scheduler.expire(nowMs, isolationMs)
            expired.pastDeadline.forEach { refuseWaiting(it, DEADLINE) }
            expired.isolated.forEach { refuseWaiting(it, ISOLATED) }
        }
    }

    private fun refuseWaiting(request: RoutedRequest, refusal: Refusal) {
        val outcome = if (request.mayHaveRun) Outcome.UNKNOWN else Outcome.NOT_RUN
        finish(request, refusal.code)
        request.eventLoop.execute { request.sink.refuse(refusal.copy(outcome = outcome)) }
    }

    private fun RoutedRequest.refuse(refusal: Refusal) = eventLoop.execute { sink.refuse(refusal) }

    private fun startAttempt(dispatched: DispatchedRequest) {
        val request = dispatched.request
        request.eventLoop.execute {
            val handler = AttemptHandler(dispatched)
            request.attempts++
            val attempt = Attempt(request, dispatched.endpoint, connections, clock, handler)
            request.attempt = attempt
            if (request.cancelled && request.sink !is RecordingSink) attempt.cancel() else attempt.start()
        }
    }

    private fun finish(request: RoutedRequest, result: String) {
        openCount.decrementAndGet()
        metrics.onRequestEnd(request, result, clock() - request.arrivedMs)
        logger.event("request_ended") {
            field("request", request.identity.id)
            field("workspace", request.workspace)
            field("pool", request.pool.id)
            field("result", result)
            field("attempts", request.attempts)
            field("elapsed_ms", clock() - request.arrivedMs)
        }
    }

    private inner class AttemptHandler(private val dispatched: DispatchedRequest) : AttemptListener {
        private val request = dispatched.request
        private val endpoint = dispatched.endpoint
        private val costTracker = dispatched.costTracker
        private val startedMs = clock()
        private var firstByteMs = 0L

        override fun onFirstByte() {
            firstByteMs = clock() - startedMs
            metrics.onFirstByte(request, clock() - request.arrivedMs)
        }

        override fun onContent(data: ByteBuf) = costTracker.onContent(data)

        override fun onResumeFailed() {
            outcomes.onBreak(endpoint.id)
            connections.discard(endpoint.id)
            scheduler(request.pool.id).trip(endpoint.id)
        }

        override fun onResumed(offset: Long) {
            logger.event("stream_resumed") {
                field("request", request.identity.id)
                field("endpoint", endpoint.id)
                field("offset", offset)
            }
        }

        override fun onEnd(result: AttemptResult) {
            request.attempt = null
            val elapsedMs = clock() - startedMs
            costTracker.onEnd(elapsedMs)
            metrics.onServed(request, costTracker.total)
            outcomes.onEnd(endpoint.id, result, firstByteMs)
            if (result is AttemptResult.Broken) {
                connections.discard(endpoint.id)
                request.mayHaveRun = true
            }
            request.triedEndpoints += endpoint.id
            val cost = costTracker.total.takeIf { result is AttemptResult.Done }
            val broken = result is AttemptResult.NotSent || result is AttemptResult.Broken && !result.reused
            scheduler(request.pool.id).finish(dispatched, cost, broken, clock())
            if (result is AttemptResult.Broken && result.mayIndicateCrash) {
                crashDetector.assess(request.identity.fingerprint, endpoint, result.atMs)
                    .whenCompleteAsync({ _, _ -> execute(decide(result, clock()), result) }, request.eventLoop)
            } else {
                execute(decide(result, clock()), result)
            }
        }

        private fun decide(result: AttemptResult, nowMs: Long): NextStep {
            val attempted =
                AttemptedRequest(request.idempotent, request.attempts, request.deadlineMs, request.mayHaveRun)
            val step = decideNextStep(attempted, result, retryBudget, nowMs)
            val quarantined = crashDetector.isQuarantined(request.identity.fingerprint)
            return if (step is NextStep.Retry && quarantined) NextStep.AnswerUnknown("quarantined") else step
        }

        private fun execute(step: NextStep, result: AttemptResult) {
            if (step !is NextStep.Finish) {
                logger.event("attempt_failed") {
                    field("request", request.identity.id)
                    field("endpoint", endpoint.id)
                    field("end", result)
                    field("next", step.javaClass.simpleName)
                }
            }
            when (step) {
                is NextStep.Finish -> finish(request, if (result is AttemptResult.Done) "done" else "caller_left")
                is NextStep.Retry -> scheduler(request.pool.id).submit(request, clock()).let { }
                is NextStep.RefuseNotRun -> refuse(Outcome.NOT_RUN, step.reason)
                is NextStep.AnswerUnknown -> refuse(Outcome.UNKNOWN, step.reason)
                is NextStep.Abort -> {
                    finish(request, "aborted")
                    request.sink.abort(step.reason)
                }
            }
        }

        private fun refuse(outcome: Outcome, reason: String) {
            finish(request, outcome.text)
            val unknown = outcome == Outcome.UNKNOWN
            val status = if (unknown) HttpResponseStatus.BAD_GATEWAY else HttpResponseStatus.SERVICE_UNAVAILABLE
            val retryAfter = DEFAULT_RETRY_AFTER_MS.takeIf { outcome == Outcome.NOT_RUN }
            request.sink.refuse(Refusal(status, "endpoint_failed", reason, outcome, retryAfter))
        }
    }
}

private val QUARANTINED = Refusal(
    HttpResponseStatus.UNPROCESSABLE_ENTITY,
    "quarantined",
    "This request was running when two endpoints crashed and is refused for a time.",
)

private val TOO_MANY_WAITING = Refusal(
    HttpResponseStatus.TOO_MANY_REQUESTS,
    "waiting_limit",
    "Too many requests of this workspace are waiting.",
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
)

private val DEADLINE = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "deadline",
    "The request could not start before its deadline.",
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
)

private val ISOLATED = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "isolated",
    "This router is cut off from the fleet.",
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
)
