package corneltrack.router.relay

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

private const val BACKLOG = 50

/** Holds a request as received by an endpoint. */
internal class ReceivedRequest(val line: String, val headers: Map<String, String>, val body: ByteArray) {
    val id: String? get() = headers["request"]
}

/** Small, so that most of a long request waits at the router until it is read. */
private const val EARLY_RECEIVE_BUFFER_BYTES = 4_096

/**
 * Responds to requests with the raw bytes that [script] writes; uses one thread for each connection.
 *
 * @param early whether it responds before it has read the body of a request.
 */
internal class ScriptedEndpoint(
    private val early: Boolean = false,
    private val script: (request: ReceivedRequest, connection: Socket) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<Socket>()

    /** The requests received so far. */
    val requests = CopyOnWriteArrayList<ReceivedRequest>()

    /** The connections that the router closed or reset. */
    val closedByPeer = CopyOnWriteArrayList<Socket>()

    /** The connections that the router has opened. */
    val connectionCount: Int get() = connections.size
    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        if (early) server.receiveBufferSize = EARLY_RECEIVE_BUFFER_BYTES
        thread(isDaemon = true) {
            try {
                while (true) serve(server.accept())
            } catch (_: SocketException) {
                // The server socket was closed.
            }
        }
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private fun serve(connection: Socket) {
        connections += connection
        thread(isDaemon = true) {
            try {
                while (true) {
                    val request = connection.getInputStream().readRequest(withBody = !early) ?: break
                    requests += request
                    script(request, connection)
                }
                closedByPeer += connection
            } catch (_: SocketException) {
                closedByPeer += connection
            }
        }
    }
}

internal fun Socket.send(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
}

/** Closes the connection with a TCP reset. */
internal fun Socket.reset() {
    setSoLinger(true, 0)
    close()
}

/** Returns a complete signed response. */
internal fun signedResponse(request: ReceivedRequest, body: String, status: String = "200 OK"): String =
    "HTTP/1.1 $status\r\nrequest: ${request.id}\r\nsignature: s\r\ncontent-length: ${body.length}\r\n\r\n$body"

/** Returns the head of a signed response with a chunked body. */
internal fun signedStreamHead(request: ReceivedRequest): String =
    "HTTP/1.1 200 OK\r\nrequest: ${request.id}\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n"

internal fun chunk(text: String): String = "${text.length.toString(radix = 16)}\r\n$text\r\n"

internal fun event(id: Int): String = "id: $id\ndata: piece-$id\n\n"

internal const val LAST_CHUNK: String = "0\r\n\r\n"

private fun InputStream.readRequest(withBody: Boolean): ReceivedRequest? {
    val lines = generateSequence { readHeadLine() }.takeWhile { it.isNotEmpty() }.toList()
    if (lines.isEmpty()) return null
    val headers = lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
    val body = if (withBody) readNBytes(headers["content-length"]?.toInt() ?: 0) else ByteArray(0)
    return ReceivedRequest(lines.first(), headers, body)
}

private fun InputStream.readHeadLine(): String? {
    val line = StringBuilder()
    while (true) {
        val byte = read()
        if (byte < 0) return null
        if (byte == '\n'.code) return line.toString().trimEnd('\r')
        line.append(byte.toChar())
    }
}

/** Decodes the body of a chunked response as far as it was received. */
internal fun decodeChunks(response: String): String {
    var rest = response.substringAfter("\r\n\r\n")
    val body = StringBuilder()
    while (rest.contains("\r\n")) {
        val size = rest.substringBefore("\r\n").toInt(radix = 16)
        rest = rest.substringAfter("\r\n")
        body.append(rest.take(size))
        rest = rest.drop(size + 2)
    }
    return body.toString()
}
