package corneltrack.world

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Describes an invalid value in an input.
 *
 * Validation collects all findings of an input and reports them together.
 *
 * @property path the path of the value within the input, for example `exception.terms.weight`.
 * @property expected a description of the valid values.
 * @property found the invalid value or a description of it.
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

    /** The findings so far, in the order in which they were added. */
    public val all: List<Finding> get() = collected.toList()

    /** Adds a finding at [path] unless the value is [valid]. */
    public fun require(valid: Boolean, path: String, expected: String, found: Any?) {
        if (!valid) {
            collected += Finding(path, expected, found.toString())
        }
    }
}
