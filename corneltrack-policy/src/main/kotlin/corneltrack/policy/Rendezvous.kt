package corneltrack.policy

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_SHIFT = 33
private const val MIX_FACTOR = -0xae502812aa7333L

/**
 * Returns the member that rendezvous hashing (highest random weight) selects for [key], or null without members.
 *
 * @param name returns the name by which a member is hashed.
 */
public fun <T> rendezvous(key: String, members: Collection<T>, name: (T) -> String): T? =
    members.maxWithOrNull(compareBy({ score(key, name(it)) }, name))

/** Hashes key and member by FNV-1a and one round of the MurmurHash3 finalizer, which spreads similar names. */
private fun score(key: String, member: String): Long {
    var hash = FNV_OFFSET
    for (character in "$key/$member") {
        hash = (hash xor character.code.toLong()) * FNV_PRIME
    }
    hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_FACTOR
    return hash xor (hash ushr MIX_SHIFT)
}
