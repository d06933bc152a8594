package corneltrack.policy.discovery

import kotlinx.serialization.Serializable

/**
 * Numbers the lives of the store's log.
 *
 * The era rises when the store comes back from an older copy. What was written after the copy is then gone, and its
 * offsets are given out again.
 */
@JvmInline
@Serializable
public value class StoreEra(public val number: Long) {
    /** Whether this era began after [other] had ended. */
    public fun isAfter(other: StoreEra): Boolean = number > other.number

    override fun toString(): String = number.toString()

    public companion object {
        /** The era of a store that has not stated any. */
        public val UNSTATED: StoreEra = StoreEra(0)
    }
}

/** What the era of a response shows. */
public sealed interface EraObservation {
    /** The response is of the era [era], the newest known. */
    public data class Current(val era: StoreEra) : EraObservation

    /** The response is the first of the era [era]; the newest one before was [previous]. */
    public data class Risen(val era: StoreEra, val previous: StoreEra) : EraObservation

    /** The response is of the era [era], which ended before [current] began, and says nothing of the store by now. */
    public data class Ended(val era: StoreEra, val current: StoreEra) : EraObservation
}

/** Tracks the newest era that the store has stated. Not thread-safe. */
public class EraTracker {
    /** The newest era that the store has stated. */
    public var current: StoreEra = StoreEra.UNSTATED
        private set

    /** Returns what a response shows that states the era [stated], or none, which counts as the newest known one. */
    public fun observe(stated: StoreEra?): EraObservation {
        val previous = current
        return when {
            stated == null || stated == previous -> EraObservation.Current(previous)
            stated.isAfter(previous) -> EraObservation.Risen(stated, previous).also { current = stated }
            else -> EraObservation.Ended(stated, previous)
        }
    }
}
