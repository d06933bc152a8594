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

/** Returns the fleet list as [requester] sees it, for example with the addresses of proxies in between. */
public typealias ListView = (requester: String, list: FleetList) -> FleetList

/** Stands in for the platform's list of live and leaving members, which lags behind by [lagMs]. */
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

    /** The times at which a whole list was sent. */
    public val fullResponses: AtomicInteger = AtomicInteger()

    @Volatile
    private var publishedList = FleetList()

    /** Whether every request is refused with status 503. */
    @Volatile
    public var down: Boolean = false

    /** The list as it is in truth; readers see it after the lag. */
    @Volatile
    public var currentList: FleetList = FleetList()
        private set

    /** Host and port of the list. */
    public val address: String get() = "127.0.0.1:${server.port}"

    /** Starts to listen on [port]; 0 picks one. */
    public fun start(port: Int = 0): FakeInstanceList = apply { server.start(HostAndPort("127.0.0.1", port)) }

    /** Changes the list. */
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
