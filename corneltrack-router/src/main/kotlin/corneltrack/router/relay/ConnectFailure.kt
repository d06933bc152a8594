package corneltrack.router.relay

import corneltrack.policy.limits.EndpointSignal
import io.netty.channel.ChannelException
import io.netty.channel.ConnectTimeoutException

/** Describes why no connection to an endpoint could be established. */
internal sealed interface ConnectFailure {
    val reason: String

    /** The endpoint or the network refused the connection. */
    data class Refused(override val reason: String) : ConnectFailure

    /** The connection was not established in time; a router that is late may have missed that it was. */
    data class TimedOut(override val reason: String) : ConnectFailure

    /** This process could not open a socket, for example because it has no descriptor left. */
    data class NoSocket(override val reason: String) : ConnectFailure
}

/** Classifies the cause of a failed connection attempt. */
internal fun connectFailure(cause: Throwable): ConnectFailure {
    val reason = "connect: ${cause.message}"
    return when (cause) {
        is ConnectTimeoutException -> ConnectFailure.TimedOut(reason)
        is ChannelException -> ConnectFailure.NoSocket(reason)
        else -> ConnectFailure.Refused(reason)
    }
}

/**
 * Returns what the failure says about the health of the endpoint, or null if this router is to blame.
 *
 * @param routerLate whether the event loop of this router lags.
 */
internal fun ConnectFailure.healthSignal(routerLate: Boolean): EndpointSignal? = when (this) {
    is ConnectFailure.Refused -> EndpointSignal.UNREACHABLE
    is ConnectFailure.TimedOut -> if (routerLate) null else EndpointSignal.UNREACHABLE
    is ConnectFailure.NoSocket -> null
}
