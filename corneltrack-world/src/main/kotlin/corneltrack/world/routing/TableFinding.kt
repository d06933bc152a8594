package corneltrack.world.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How much a finding about a routing table matters. */
@Serializable
public enum class FindingSeverity {
    /** Some requests cannot be served as the table says. */
    @SerialName("error")
    ERROR,

    /** The table can be served, but an entry has no effect or limits contradict each other. */
    @SerialName("warning")
    WARNING,
}

/**
 * A fault in a routing table.
 *
 * @property place the entry and its field, for example `route draft, timeout`.
 */
@Serializable
public data class TableFinding(val severity: FindingSeverity, val place: String, val problem: String) {
    override fun toString(): String = "${severity.name.lowercase()}: $place: $problem"
}

/** Collects the findings about a table in the order in which they are added. */
internal class TableFindings {
    private val collected = ArrayList<TableFinding>()
    val all: List<TableFinding> get() = collected

    fun error(place: String, problem: String, found: Boolean = true) = add(FindingSeverity.ERROR, place, problem, found)

    fun warning(place: String, problem: String, found: Boolean = true) =
        add(FindingSeverity.WARNING, place, problem, found)

    private fun add(severity: FindingSeverity, place: String, problem: String, found: Boolean) {
        if (found) collected += TableFinding(severity, place, problem)
    }
}
