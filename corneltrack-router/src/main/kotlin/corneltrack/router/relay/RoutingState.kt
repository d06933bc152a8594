package corneltrack.router.relay

import corneltrack.policy.discovery.CachedView
import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.DirectoryChange
import corneltrack.policy.discovery.EndpointDirectory
import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.router.relay.rollout.RolloutRecords
import corneltrack.router.relay.streams.ListCurrency
import corneltrack.wire.event
import corneltrack.world.DataCentreId
import corneltrack.world.EndpointId
import corneltrack.world.PoolId
import corneltrack.world.routing.EndpointEntry
import corneltrack.world.routing.RoutingTable
import io.netty.channel.EventLoop
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

// Keeps the former name of the class, which appears in log lines as logger=RoutingBeliefs.
private val logger = LogManager.getLogger("corneltrack.router.relay.RoutingBeliefs")
private val OPERATOR_POLL_TIMING = PollTiming(waitMs = 1_500, delayMs = 0)
private val ENDPOINT_POLL_TIMING = PollTiming(waitMs = 0, delayMs = 1_000)

/** The kinds of records in the operator topic; the key of a record determines its kind. */
public sealed interface OperatorRecordKind {
    /** The record holds the routing table. */
    public data object Table : OperatorRecordKind

    /** No request is sent to [dataCentre] while the record exists. */
    public data class Evacuation(val dataCentre: DataCentreId) : OperatorRecordKind

    /** The record orders that the traffic of [pool] move to another version of its endpoints. */
    public data class Rollout(val pool: PoolId) : OperatorRecordKind

    /** The router does not know the key and ignores the record. */
    public data object Unknown : OperatorRecordKind
}

/**
 * The topics of the platform's store and the decoders of their records.
 *
 * @property operator the records that operators write.
 * @property endpoints the records that endpoints write about themselves.
 * @property peers the records that routers write about themselves.
 * @property operatorRecordKind returns the kind of an operator record by its key.
 * @property decodeTable decodes a routing table, or returns null if it is malformed.
 * @property decodeEndpoint decodes the record of an endpoint, or returns null if it does not describe one.
 * @property streams the records of which version began which stream; null if routers do not share them.
 * @property rollouts decodes and encodes the records of roll-outs; null if the platform has none.
 */
public data class RoutingSource(
    public val operator: KeyedTopic,
    public val endpoints: KeyedTopic,
    public val peers: KeyedTopic,
    public val operatorRecordKind: (key: String) -> OperatorRecordKind,
    public val decodeTable: (ByteArray) -> RoutingTable?,
    public val decodeEndpoint: (key: String, value: ByteArray) -> EndpointEntry?,
    public val streams: KeyedTopic? = null,
    public val rollouts: RolloutRecords? = null,
)

/**
 * What follows a record.
 *
 * @property onTable called with each newer routing table.
 * @property onOrder called with each record that orders a roll-out or, with a null value, ends it.
 * @property onListed called with each endpoint whose record was read, also if a later one in the same read removes it.
 */
internal class RoutingCallbacks(
    val onTable: (RoutingTable) -> Unit,
    val onOrder: (PoolId, KeyedRecord) -> Unit,
    val onListed: (KnownEndpoint) -> Unit,
)

/**
 * Caches the routing table, the evacuated data centres and the endpoints from the store, and tracks their age.
 *
 * Only used on the event loop.
 *
 * @param role the part of this router in reading the store for its region.
 */
internal class RoutingState(
    private val source: RoutingSource,
    private val bounds: RelayBounds,
    loop: EventLoop,
    private val clock: Clocks,
    role: RegionRole,
    private val callbacks: RoutingCallbacks,
) {
    private val operatorFollower = TopicFollower(
        FollowedTopic(
            "operator",
            source.operator,
            OPERATOR_POLL_TIMING,
            // Tables have versions.
            reconciles = { source.operatorRecordKind(it) == OperatorRecordKind.Table },
        ),
        loop,
        clock,
        role.rank,
        // A configuration may be larger than a datagram, so that each router reads these records from the store.
        role.sharing.disabled(),
        ::onOperatorRecord,
    )
    private val endpointFollower = TopicFollower(
        // The directory tells older records of an endpoint from newer ones.
        FollowedTopic("endpoints", source.endpoints, ENDPOINT_POLL_TIMING, reconciles = { true }),
        loop,
        clock,
        role.rank,
        role.sharing,
        ::onEndpointRecord,
    )

    /** The operator topic and its follower. */
    val operatorTopic: FollowedKeyedTopic get() = FollowedKeyedTopic(source.operator, operatorFollower)

    /** The followers of the operator and endpoint topics. */
    val followers: List<TopicFollower> get() = listOf(operatorFollower, endpointFollower)

    /** Whether the copies of both topics are recent enough to say what the store lacks. */
    val currency: List<ViewCurrency> =
        followers.map { ViewCurrency(it.name, bounds.maximumViewAgeMs, it::viewState) }

    val directory = EndpointDirectory(bounds.relistingTimeoutMs)

    /** The current routing table; null until the first one is read. */
    var table: RoutingTable? = null
        private set

    /** The routing table with its age; null until all records of the operators have been read once. */
    val tableView: CachedView<RoutingTable>?
        get() = operatorAgeMs()?.let { ageMs -> table?.let { CachedView(it, ageMs, bounds.maximumViewAgeMs) } }

    /** How current the routing table is. */
    val tableState: ViewState get() = operatorFollower.viewState()

    /** The data centres that receive no requests. */
    val evacuated: MutableSet<DataCentreId> = HashSet()

    /** How far the list of endpoints can be relied on. */
    val endpointList: ListCurrency
        get() {
            val current = (endpointFollower.ageMs ?: Long.MAX_VALUE) <= bounds.maximumViewAgeMs
            return ListCurrency(current, endpointFollower.seenSince?.monotonicMs)
        }

    /** Whether the endpoint topic has been read completely once. */
    val endpointsLoaded: Boolean get() = endpointFollower.asOf != null

    /** Starts following both topics. */
    fun start() {
        operatorFollower.start()
        endpointFollower.start()
    }

    /** Returns the age of the cached operator records, in ms, or null before the first complete read. */
    fun operatorAgeMs(): Long? = operatorFollower.ageMs

    /** Returns the age of the cached endpoint records, in ms, or null before the first complete read. */
    fun endpointAgeMs(): Long? = endpointFollower.ageMs

    /**
     * Whether API keys must be refused because one may have been revoked without this router knowing.
     *
     * @param ageMs the age of the operator records, in ms; null before the first complete read.
     */
    fun keysStale(ageMs: Long?): Boolean =
        bounds.failClosed && (ageMs ?: Long.MAX_VALUE) > bounds.maximumKeyAgeMs

    /** Removes the endpoints whose grace period after an outage of the store is over. */
    fun expire() = directory.expire(clock().monotonicMs).forEach { logChange(it, DirectoryChange.REMOVED) }

    private fun onOperatorRecord(record: KeyedRecord): Boolean {
        when (val kind = source.operatorRecordKind(record.key)) {
            OperatorRecordKind.Table -> record.value?.let(::onTableRecord)
            is OperatorRecordKind.Evacuation -> onEvacuation(kind.dataCentre, record.value != null)
            is OperatorRecordKind.Rollout -> callbacks.onOrder(kind.pool, record)
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
        if (current != null && decoded.version <= current.version) {
            logger.event("configuration_not_taken") {
                field("version", decoded.version)
                field("table", current.version)
            }
            return
        }
        table = decoded
        logger.event("configuration_applied") {
            field("version", decoded.version)
            field("routes", decoded.routes.size)
            field("workspaces", decoded.workspaces.size)
            field("age_ms", operatorAgeMs())
        }
        callbacks.onTable(decoded)
    }

    private fun onEvacuation(dataCentre: DataCentreId, active: Boolean) {
        if (active) evacuated += dataCentre else evacuated -= dataCentre
        logger.event(if (active) "data_centre_evacuated" else "data_centre_taken_back") {
            field("data_centre", dataCentre)
        }
    }

    /** Returns whether the record changed the directory; heartbeats of a known endpoint do not. */
    private fun onEndpointRecord(record: KeyedRecord): Boolean {
        val nowMs = clock().monotonicMs
        val entry = record.value?.let { source.decodeEndpoint(record.key, it) }
        val id = EndpointId(record.key)
        if (entry == null && record.value != null) {
            logger.event("endpoint_record_unreadable") { field("endpoint", id) }
        }
        val change = entry?.let { directory.onEntry(it, nowMs) }
            ?: directory.onRemoved(id, endpointFollower.storeRecoveredMs, nowMs)
        directory.endpoints[id]?.let(callbacks.onListed)
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
