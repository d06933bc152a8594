package corneltrack.testbed

import corneltrack.wire.Content
import corneltrack.wire.ControlResponse
import corneltrack.wire.ControlServer
import corneltrack.wire.HostAndPort
import corneltrack.wire.errorResponse
import corneltrack.wire.wireJson
import corneltrack.world.FleetList
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.encodeToString
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Returns the fleet list to send to [requester], for example with the addresses of proxies instead of members. */
public typealias ListView = (requester: String, list: FleetList) -> FleetList

/**
 * Fakes the platform's list of live and leaving members.
 *
 * @param lagMs the time from a change of the list to its publication, in ms.
 */
public class FakeInstanceList(
    private val group: EventLoopGroup,
    private val lagMs: Long = 0,
    private val view: ListView = { _, list -> list },
) : AutoCloseable {
    private val server = ControlServer(group, secret = null) { request ->
        val requester = QueryStringDecoder(request.path).parameters()["requester"]?.firstOrNull().orEmpty()
        if (down) {
            errorResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the list is down")
        } else {
            CompletableFuture.completedFuture(respond(view(requester, publishedList), request.ifNoneMatch))
        }
    }

    /** The number of responses that carried the whole list rather than status 304. */
    public val fullResponses: AtomicInteger = AtomicInteger()

    @Volatile
    private var publishedList = FleetList()

    /** Whether every request is refused with status 503. */
    @Volatile
    public var down: Boolean = false

    /** The list with all changes, including those that are not published yet. */
    @Volatile
    public var currentList: FleetList = FleetList()
        private set

    /** The address of the list, as `host:port`. */
    public val address: String get() = "127.0.0.1:${server.port}"

    /** Starts listening on [port]; 0 picks a free one. */
    public fun start(port: Int = 0): FakeInstanceList = apply { server.start(HostAndPort("127.0.0.1", port)) }

    /** Applies [change] to the list and publishes the result after the lag. */
    @Synchronized
    public fun update(change: (FleetList) -> FleetList) {
        val next = change(currentList)
        currentList = next
        if (lagMs == 0L) {
            publishedList = next
        } else {
            group.schedule({ publishedList = next }, lagMs, TimeUnit.MILLISECONDS)
        }
    }

    private fun respond(list: FleetList, knownTag: String?): ControlResponse {
        val entityTag = "\"${list.hashCode().toUInt()}\""
        if (entityTag == knownTag) {
            return ControlResponse(HttpResponseStatus.NOT_MODIFIED, entityTag = entityTag)
        }
        fullResponses.incrementAndGet()
        return ControlResponse(HttpResponseStatus.OK, Content.of(wireJson.encodeToString(list)), entityTag = entityTag)
    }

    override fun close(): Unit = server.close()
}
