package corneltrack.router.relay

import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.DirectoryChange
import corneltrack.policy.discovery.EndpointDirectory
import corneltrack.wire.event
import corneltrack.world.DataCentreId
import corneltrack.world.EndpointId
import corneltrack.world.routing.EndpointEntry
import corneltrack.world.routing.RoutingTable
import io.netty.channel.EventLoop
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

private val logger = LogManager.getLogger("corneltrack.router.relay.RoutingBeliefs")
private val OPERATOR_POLL_TIMING = PollTiming(waitMs = 1_500, delayMs = 0)
private val ENDPOINT_POLL_TIMING = PollTiming(waitMs = 0, delayMs = 1_000)

/** Tells what a record of the operators is about. */
public sealed interface OperatorRecordKind {
    /** The routing table. */
    public data object Table : OperatorRecordKind

    /** The order to send nothing more to [dataCentre]. */
    public data class Evacuation(val dataCentre: DataCentreId) : OperatorRecordKind

    /** Something that the router does not know. */
    public data object Unknown : OperatorRecordKind
}

/**
 * Gives access to what the platform's store says.
 *
 * @property operator the operators' records.
 * @property endpoints the endpoints' own records.
 * @property peers the routers' own records.
 * @property operatorRecordKind tells what an operators' key is about.
 * @property decodeTable reads a routing table, or returns null where it cannot be read.
 * @property decodeEndpoint reads an endpoint's record, or returns null where it names no endpoint.
 */
public class RoutingSource(
    public val operator: KeyedTopic,
    public val endpoints: KeyedTopic,
    public val peers: KeyedTopic,
    public val operatorRecordKind: (key: String) -> OperatorRecordKind,
    public val decodeTable: (ByteArray) -> RoutingTable?,
    public val decodeEndpoint: (key: String, value: ByteArray) -> EndpointEntry?,
)

/**
 * Holds what this router believes of the configuration and the endpoints, and how old that is.
 *
 * Only used on the event loop.
 *
 * @param rank how many live routers of the region read the store before this one.
 */
internal class RoutingState(
    private val source: RoutingSource,
    private val bounds: RelayBounds,
    loop: EventLoop,
    private val clock: Clocks,
    rank: () -> Int,
    private val onTable: (RoutingTable) -> Unit,
) {
    private val operatorFollower =
        TopicFollower(FollowedTopic("operator", source.operator, OPERATOR_POLL_TIMING), loop, clock, rank, ::onOperatorRecord)
    private val endpointFollower =
        TopicFollower(FollowedTopic("endpoints", source.endpoints, ENDPOINT_POLL_TIMING), loop, clock, rank, ::onEndpointRecord)

    /** What follows the store. */
    val followers: List<TopicFollower> get() = listOf(operatorFollower, endpointFollower)

    /** The known endpoints. */
    val directory = EndpointDirectory(bounds.relistingMs)

    /** The table in force, or null before the first. */
    var table: RoutingTable? = null
        private set

    /** The data centres that are to get nothing. */
    val evacuated: MutableSet<DataCentreId> = HashSet()

    /** Whether the endpoints have been read once. */
    val endpointsLoaded: Boolean get() = endpointFollower.asOf != null

    /** Starts to follow the store. */
    fun start() {
        operatorFollower.start()
        endpointFollower.start()
    }

    /** Returns the age of the operators' records, in ms, or null where none are known. */
    fun operatorAgeMs(): Long? = operatorFollower.ageMs

    /** Returns the age of the endpoints' records, in ms, or null where none are known. */
    fun endpointAgeMs(): Long? = endpointFollower.ageMs

    /** Returns whether a key may have been taken away without this router knowing, so that none may be accepted. */
    fun keysStale(): Boolean = bounds.failClosed && (operatorAgeMs() ?: Long.MAX_VALUE) > bounds.keyAgeMs

    /** Drops what has lapsed. */
    fun expire() = directory.expire(clock().monotonicMs).forEach { logChange(it, DirectoryChange.REMOVED) }

    private fun onOperatorRecord(record: KeyedRecord): Boolean {
        when (val kind = source.operatorRecordKind(record.key)) {
            OperatorRecordKind.Table -> record.value?.let(::onTableRecord)
            is OperatorRecordKind.Evacuation -> onEvacuation(kind.dataCentre, record.value != null)
            OperatorRecordKind.Unknown -> logger.event("operator_record_unknown") { field("key", record.key) }
        }
        return true
    }

    private fun onTableRecord(value: ByteArray) {
        val decoded = source.decodeTable(value)
        val current = table
        if (decoded == null) {
            logger.event("configuration_unreadable", Level.ERROR) { field("bytes", value.size) }
            return
        }
        if (current != null && decoded.version <= current.version) return
        table = decoded
        logger.event("configuration_applied") {
            field("version", decoded.version)
            field("routes", decoded.routes.size)
            field("workspaces", decoded.workspaces.size)
            field("age_ms", operatorAgeMs())
        }
        onTable(decoded)
    }

    private fun onEvacuation(dataCentre: DataCentreId, active: Boolean) {
        if (active) evacuated += dataCentre else evacuated -= dataCentre
        logger.event(if (active) "data_centre_evacuated" else "data_centre_taken_back") {
            field("data_centre", dataCentre)
        }
    }

    /** Heartbeats that tell nothing new change nothing. */
    private fun onEndpointRecord(record: KeyedRecord): Boolean {
        val nowMs = clock().monotonicMs
        val entry = record.value?.let { source.decodeEndpoint(record.key, it) }
        val id = EndpointId(record.key)
        if (entry == null && record.value != null) {
            logger.event("endpoint_record_unreadable") { field("endpoint", id) }
        }
        val change = entry?.let { directory.onEntry(it, nowMs) }
            ?: directory.onRemoved(id, endpointFollower.storeRecoveredMs, nowMs)
        logChange(id, change)
        return change != DirectoryChange.NONE
    }

    private fun logChange(id: EndpointId, change: DirectoryChange) {
        if (change == DirectoryChange.NONE) return
        logger.event("endpoint_changed") {
            field("endpoint", id)
            field("change", change.name.lowercase())
            field("pool", directory.endpoints[id]?.entry?.endpoint?.pool)
            field("age_ms", endpointAgeMs())
        }
    }
}
