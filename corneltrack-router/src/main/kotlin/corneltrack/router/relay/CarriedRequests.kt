package corneltrack.router.relay

import io.netty.channel.Channel
import io.netty.util.AttributeKey

/** More than an endpoint responds late to on one connection. */
private const val REMEMBERED_REQUESTS = 32
private val CARRIED = AttributeKey.valueOf<CarriedRequests>("corneltrack.carriedRequests")

/**
 * Remembers the last requests of a connection by the hash codes of their ids. Confined to the event loop.
 *
 * A late second response to a request states its id, so that the same id must not be sent on the connection again.
 */
internal class CarriedRequests {
    private val hashCodes = IntArray(REMEMBERED_REQUESTS)
    private var count = 0

    /** Records that the connection carries the request [id]. */
    fun add(id: String) {
        hashCodes[count++ % REMEMBERED_REQUESTS] = id.hashCode()
    }

    /** Whether one of the last requests had [id], or another id with the same hash code. */
    operator fun contains(id: String): Boolean =
        (0 until minOf(count, REMEMBERED_REQUESTS)).any { hashCodes[it] == id.hashCode() }
}

/** The requests that this connection has carried last. */
internal val Channel.carriedRequests: CarriedRequests
    get() = attr(CARRIED).run { get() ?: CarriedRequests().also(::set) }
