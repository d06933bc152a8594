package corneltrack.world

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Describes one fault in an input: where it stands, what was expected there and what was found.
 *
 * Validation collects all findings of an input and reports them together.
 */
@Serializable
public data class Finding(
    @SerialName("place") val path: String,
    val expected: String,
    val found: String,
) {
    override fun toString(): String = "$path: expected $expected, found $found"
}

/** Collects the findings of one input. */
public class Findings {
    private val collected = mutableListOf<Finding>()

    /** Returns the findings so far, in the order in which they were added. */
    public val all: List<Finding> get() = collected.toList()

    /** Adds a finding at [path] unless [valid]. */
    public fun require(valid: Boolean, path: String, expected: String, found: Any?) {
        if (!valid) {
            collected += Finding(path, expected, found.toString())
        }
    }
}
