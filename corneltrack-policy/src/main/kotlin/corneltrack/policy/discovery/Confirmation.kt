package corneltrack.policy.discovery

/** How a router learned as of when its copy of the store's records is complete. */
public enum class ConfirmationSource {
    /** The router read the records itself. */
    READ,

    /** A peer said that there are no others. */
    PEER,
}

/**
 * States that a copy of the store's records has all that there were at [asOf].
 *
 * @property asOf when the store had no record that the copy lacks.
 */
public data class Confirmation(val asOf: ClockReading, val source: ConfirmationSource)
