package corneltrack.policy.discovery

/** How a router learned as of when its copy of the store's records is complete. */
public enum class ConfirmationSource {
    /** The router read the records up to the end of the topic. */
    READ,

    /** The router loaded the newest record of each key. */
    LOAD,

    /** A peer said that there are no others. */
    PEER,
}

/**
 * States that a copy of the store's records has all that there were at [asOf].
 *
 * @property asOf when the store had no record that the copy lacks.
 * @property end the position after the last record that the copy had then.
 * @property peer the peer that said so, or null.
 */
public data class Confirmation(
    val asOf: ClockReading,
    val source: ConfirmationSource,
    val end: TopicPosition,
    val peer: String? = null,
)
