package corneltrack.policy.discovery

import kotlinx.serialization.Serializable

/**
 * A place in a topic of the store: the [offset] of a record within an [era].
 *
 * The store gives offsets out again after it came back from an older copy, so that positions of two eras have no order.
 */
@Serializable
public data class TopicPosition(val era: StoreEra, val offset: Long) {
    /** The position after this one. */
    val next: TopicPosition get() = copy(offset = offset + 1)

    /** Whether this is [other] or a later position of the same era. */
    public fun reaches(other: TopicPosition): Boolean = era == other.era && offset >= other.offset

    /** Whether [other] is a later position of the same era. */
    public fun precedes(other: TopicPosition): Boolean = era == other.era && offset < other.offset

    /** Whether the store wrote what is here after what was at [other]: later in the same era, or in a newer one. */
    public fun supersedes(other: TopicPosition): Boolean = era.isAfter(other.era) || other.precedes(this)

    override fun toString(): String = "$offset of era $era"

    public companion object {
        /** The position of a router that has read nothing. */
        public val START: TopicPosition = TopicPosition(StoreEra.UNSTATED, 0)
    }
}
