package corneltrack.policy.discovery

/** What a router's copy of the store's records says about one entry. */
public sealed interface Lookup<out T> {
    /** The copy has [value]. */
    public data class Found<out T>(val value: T) : Lookup<T>

    /** The store has no such entry, unless it was added so recently that it need not be in force yet. */
    public data object Absent : Lookup<Nothing>

    /** The copy lacks the entry and is too old to tell whether the store has it. */
    public data object NotKnown : Lookup<Nothing>
}

/**
 * A complete copy of the store's records as of some time ago.
 *
 * What the copy has can be used while nothing newer is known; what it lacks exists nowhere only if it is current.
 *
 * @property content what the records say.
 * @property ageMs the time since the copy is known to have been complete, in ms.
 * @property maximumAgeMs the age up to which the copy is current, in ms.
 */
public data class CachedView<out T>(val content: T, val ageMs: Long, val maximumAgeMs: Long) {
    /** Whether what the copy lacks does not exist. */
    public val current: Boolean get() = ageMs <= maximumAgeMs

    /** Looks up an entry that [select] returns, or null if the copy lacks it. */
    public inline fun <R : Any> find(select: (T) -> R?): Lookup<R> {
        val value = select(content)
        return when {
            value != null -> Lookup.Found(value)
            current -> Lookup.Absent
            else -> Lookup.NotKnown
        }
    }
}
