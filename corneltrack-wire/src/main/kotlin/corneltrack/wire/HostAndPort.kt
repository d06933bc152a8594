package corneltrack.wire

import io.netty.util.NetUtil
import java.net.InetSocketAddress

private const val MAXIMUM_PORT = 65_535

/** The address of a server. */
public data class HostAndPort(val host: String, val port: Int) {
    /** Returns the socket address. [host] must be an IP address, so that no name is looked up. */
    public fun toSocketAddress(): InetSocketAddress = InetSocketAddress(host, port)

    /**
     * Whether this is an IP address, so that connecting to it looks up no name, with a port that can be connected to.
     */
    public val isReachable: Boolean get() = NetUtil.isValidIpV4Address(host) && port > 0

    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses [text] of the form `host:port`. Returns null if it has another form. */
        public fun parse(text: String): HostAndPort? {
            val port = text.substringAfterLast(':', "").toIntOrNull()
            val host = text.substringBeforeLast(':')
            val valid = port != null && port in 0..MAXIMUM_PORT && host.isNotBlank()
            return if (valid) HostAndPort(host, port!!) else null
        }
    }
}
