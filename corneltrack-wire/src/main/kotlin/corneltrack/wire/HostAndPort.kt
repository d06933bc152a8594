package corneltrack.wire

import java.net.InetSocketAddress

private const val MAXIMUM_PORT = 65_535

/** Names where a process listens. */
public data class HostAndPort(val host: String, val port: Int) {
    /** Returns the socket address, which is given by IP number and never looked up. */
    public fun toSocketAddress(): InetSocketAddress = InetSocketAddress(host, port)

    override fun toString(): String = "$host:$port"

    /** Parses addresses. */
    public companion object {
        /** Returns the address in [text], of the form `host:port`, or null where it has another form. */
        public fun parse(text: String): HostAndPort? {
            val port = text.substringAfterLast(':', "").toIntOrNull()
            val host = text.substringBeforeLast(':')
            val valid = port != null && port in 0..MAXIMUM_PORT && host.isNotBlank()
            return if (valid) HostAndPort(host, port!!) else null
        }
    }
}
