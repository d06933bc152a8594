package corneltrack.policy

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_SHIFT = 33
private const val MIX_FACTOR = -0xae502812aa7333L

/** Returns the member of [members] that rendezvous hashing picks for [key], or null where there is none. */
public fun <T> rendezvous(key: String, members: Collection<T>, name: (T) -> String): T? =
    members.maxWithOrNull(compareBy({ score(key, name(it)) }, name))

private fun score(key: String, member: String): Long {
    var hash = FNV_OFFSET
    for (character in "$key/$member") {
        hash = (hash xor character.code.toLong()) * FNV_PRIME
    }
    hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_FACTOR
    return hash xor (hash ushr MIX_SHIFT)
}
