package corneltrack.wire

import io.netty.channel.socket.nio.NioSocketChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel

/**
 * A client's socket that tells whether its peer has reset the connection.
 *
 * Once a socket has read the end of the peer's stream, no read reports a reset that follows.
 */
public class ClientSocketChannel : NioSocketChannel() {
    /** Whether the connection has been reset. Makes three system calls. */
    public val isReset: Boolean get() = ResetProbe.isReset(javaChannel())
}

/**
 * Asks the system whether a socket has failed, which the JDK offers no option for.
 *
 * A connected socket is never ready to connect, unless the system reports an error or that both directions have ended:
 * the JDK then reports each operation that a key is interested in as ready.
 */
private object ResetProbe {
    private val selector = Selector.open()

    @Synchronized
    fun isReset(socket: SocketChannel): Boolean {
        val key = socket.register(selector, SelectionKey.OP_CONNECT)
        selector.selectNow()
        val failed = key.isConnectable
        key.cancel()
        selector.selectNow()
        return failed
    }
}
