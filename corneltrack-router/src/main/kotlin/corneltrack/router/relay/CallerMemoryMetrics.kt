package corneltrack.router.relay

import corneltrack.router.callers.BodyMemory
import corneltrack.router.callers.CallerMemory
import corneltrack.router.callers.CallerMemoryBounds
import corneltrack.router.callers.ConnectionLimits
import corneltrack.router.callers.HeldKind
import corneltrack.router.callers.ShedReason
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Collects what callers hold of the process, and which of them were refused or cut off for it. */
internal class CallerMemoryMetrics(registry: PrometheusRegistry) {
    private val held = Gauge.builder().name("corneltrack_relay_caller_memory_bytes")
        .help("Bytes held for callers beside bodies: decoded heads, and what waits to be decoded or read.")
        .labelNames("kind").register(registry)
    private val shed = Counter.builder().name("corneltrack_relay_callers_shed")
        .help("Connections of callers that were refused or cut off, by reason.").labelNames("reason").register(registry)

    /** Records what [memory] holds. */
    fun onHeldBytes(memory: CallerMemory) = HeldKind.entries.forEach { kind ->
        held.labelValues(kind.name.lowercase()).set(memory.heldBytes(kind).toDouble())
    }

    /** Counts [count] connections refused or cut off for [reason]. */
    fun onShed(reason: ShedReason, count: Long) = shed.labelValues(reason.name.lowercase()).inc(count.toDouble())
}

/** Returns the account of what callers hold beside [bodies], with the bounds of these settings. */
internal fun CallerMemorySettings.newMemory(bodies: BodyMemory): CallerMemory {
    val defaults = CallerMemoryBounds()
    val bounds = defaults.copy(
        headBytes = headMemoryBytes ?: defaults.headBytes,
        waitingBytes = waitingMemoryBytes ?: defaults.waitingBytes,
    )
    return CallerMemory(bounds) { bodies.heldBytes }
}

/** Returns these limits with the number of lines that [settings] allow. */
internal fun ConnectionLimits.within(settings: CallerMemorySettings): ConnectionLimits =
    copy(headLines = settings.headLines ?: headLines)
