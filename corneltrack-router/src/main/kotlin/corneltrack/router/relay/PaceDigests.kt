package corneltrack.router.relay

import corneltrack.policy.placement.EngineSpeeds
import corneltrack.policy.placement.LearntSpeed
import corneltrack.policy.placement.MAXIMUM_REPORT_AGE_MS
import corneltrack.policy.placement.PaceReport
import corneltrack.world.InstanceId

/** What a peer may state at most, so that one wrong digest does not outweigh all others. */
private const val MAXIMUM_PEER_SAMPLES = 50

/** Returns what the endpoint last stated of its pace to this router; null if that is not recent, and for engines. */
internal fun EndpointState.serviceDigest(nowMs: Long): ServiceDigest? {
    val learnt = service.paced.ownServiceTime
    val report = service.paced.ownReport
    if (report == null || learnt.samples == 0 || nowMs - report.observedMs > MAXIMUM_REPORT_AGE_MS) return null
    return ServiceDigest(
        report.active,
        report.pace.toFloat(),
        nowMs - report.observedMs,
        learnt.value.toFloat(),
        learnt.samples,
    )
}

/** Returns what this router has learnt of the engine's speed; null where no engine of the pool states its pace. */
internal fun EndpointState.speedsDigest(): SpeedsDigest? {
    val (prefill, decode) = engine.ownSpeeds
    if (!pool.speeds.shared || prefill.samples + decode.samples == 0) return null
    return SpeedsDigest(prefill.value.toFloat(), prefill.samples, decode.value.toFloat(), decode.samples)
}

/** Records what [peer] has learnt of the same incarnation of the endpoint; ignores values that make no sense. */
internal fun EndpointState.onPeerPace(peer: InstanceId, digest: EndpointDigest, nowMs: Long) {
    digest.service?.let { stated ->
        val report = PaceReport(stated.active, stated.pace.toDouble(), nowMs - stated.ageMs)
        val learnt = learntSpeed(stated.serviceTimeMs, stated.samples)
        val plausible = stated.ageMs in 0..MAXIMUM_REPORT_AGE_MS && stated.pace.isFinite() && learnt != null
        if (plausible) service.paced.onPeer(peer, report, checkNotNull(learnt), service.running)
    }
    digest.speeds?.let { stated ->
        val prefill = learntSpeed(stated.prefillMsPerToken, stated.prefillSamples)
        val decode = learntSpeed(stated.decodeMsPerToken, stated.decodeSamples)
        if (prefill == null || decode == null) return
        pool.speeds.onPaceStated()
        engine.onPeerSpeeds(peer, EngineSpeeds(prefill, decode), nowMs)
    }
}

private fun learntSpeed(value: Float, samples: Int): LearntSpeed? =
    if (value.isFinite() && value >= 0) {
        LearntSpeed(value.toDouble(), samples.coerceIn(0, MAXIMUM_PEER_SAMPLES))
    } else {
        null
    }
