package corneltrack.router.relay

/** Why a router calls the store to read a topic. */
internal enum class StoreCallCause {
    /** The load of all records at the start of the process. */
    START,

    /** The poll of the router that polls the topic for its region. */
    POLL,

    /** A check whether the topic changed, since watermarks are overdue. */
    TAKEOVER,

    /** A read of a change that a watermark announced. */
    ANNOUNCED,

    /** A load of all records after the records to read next expired, or since there are too many of them. */
    RELOAD,

    /** A load of all records after the store came back from an older copy. */
    NEW_ERA,

    /** A read after a long poll, which by itself does not show that there was no record. */
    CONFIRM,

    /** A read of the records after a page that did not reach the end of the topic. */
    FOLLOW_UP,

    /** The repetition of a call that failed. */
    RETRY,
}

/**
 * Determines how the routers of a region share the records of a topic.
 *
 * @property enabled returns whether the polling router sends the changed records to its peers. If not, each router
 *   reads them from the store.
 * @property onStoreCall called with the topic and the cause of each read of the store.
 * @property onRecordsTaken called with the topic and the number of records that this router took from a peer.
 */
internal class RecordSharing(
    val enabled: () -> Boolean = { false },
    val onStoreCall: (topic: String, cause: StoreCallCause) -> Unit = { _, _ -> },
    val onRecordsTaken: (topic: String, records: Int) -> Unit = { _, _ -> },
) {
    /** The same observers for a topic that is not shared. */
    fun disabled(): RecordSharing = RecordSharing({ false }, onStoreCall, onRecordsTaken)
}

/**
 * The part of this router in reading the store for its region.
 *
 * @property rank returns how many live routers of the region come before this one in the order of polling the store.
 * @property sharing determines whether the routers of the region send each other the records that they read.
 */
internal class RegionRole(val rank: () -> Int, val sharing: RecordSharing)
