package corneltrack.router.relay

import corneltrack.policy.limits.EventLoopLag
import corneltrack.policy.limits.OverloadRotation
import corneltrack.policy.limits.RotationPeers
import corneltrack.wire.event
import corneltrack.world.InstanceId
import org.apache.logging.log4j.LogManager

private val logger = LogManager.getLogger("corneltrack.router.relay.RotationControl")

/**
 * Takes this router out of the load balancer's rotation while it is overloaded and its peers are not, and logs it.
 *
 * Updated on the event loop; [inRotation] may be read on any thread.
 *
 * @param peers returns how loaded the other routers of the data centre say that they are.
 * @param onChange called when this router has left or joined the rotation.
 */
internal class RotationControl(
    id: InstanceId,
    private val eventLoopLag: EventLoopLag,
    private val peers: () -> RotationPeers,
    private val onChange: () -> Unit,
) {
    private val rotation = OverloadRotation(spread = id.value.hashCode().toUByte().toDouble() / UByte.MAX_VALUE.toInt())

    /** Whether new connections of callers should reach this router. */
    @Volatile
    var inRotation: Boolean = true
        private set

    /** Decides again whether this router is in rotation. */
    fun update(nowMs: Long) {
        val lagMs = eventLoopLag.lagMs(nowMs)
        val known = peers()
        if (!rotation.update(lagMs, known, nowMs)) return
        inRotation = rotation.inRotation
        onChange()
        logger.event(if (inRotation) "rotation_joined" else "rotation_left") {
            field("lag_ms", lagMs)
            field("routers", known.routers)
            field("idle_peers", known.idlePeers)
            field("out_of_rotation", known.outOfRotation)
        }
    }
}
