package corneltrack.router.relay

import java.util.Collections
import java.util.IdentityHashMap

/** Each held call looks again every few ms; bounds the processor that this takes. */
private const val MAXIMUM_HELD = 64

/** Bounds the calls that wait at the router because all endpoints are expected to be full. */
internal class HeldCalls {
    private val held = Collections.newSetFromMap(IdentityHashMap<RelayedCall, Boolean>())

    /** Records whether [call] is to wait. Returns whether it does, which it does not if too many do. */
    fun update(call: RelayedCall, wait: Boolean): Boolean {
        val waits = wait && (call in held || held.size < MAXIMUM_HELD)
        if (waits) held.add(call) else held.remove(call)
        return waits
    }
}
