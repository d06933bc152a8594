package corneltrack.control

import corneltrack.wire.strictJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.io.File
import java.io.IOException

/**
 * Tells the operators' command where the platform and the routers are.
 *
 * @property log host and port of the platform's log.
 * @property instances host and port of the platform's instance list.
 * @property secret what routers want from operators.
 * @property operator the name that stands in the audit trail.
 */
@Serializable
public data class ControlSettings(
    val log: String,
    val instances: String,
    val secret: String,
    val operator: String,
) {
    override fun toString(): String = "ControlSettings(log=$log, instances=$instances, operator=$operator)"
}

/** Reads the settings in [file]; fails with [CommandException] where it cannot. */
internal fun readControlSettings(file: String): ControlSettings =
    try {
        strictJson.decodeFromString<ControlSettings>(File(file).readText())
    } catch (fault: IOException) {
        throw CommandException(ExitCode.USAGE, "$file: ${fault.message}", fault)
    } catch (fault: SerializationException) {
        throw CommandException(ExitCode.USAGE, "$file: ${fault.message.orEmpty().lineSequence().first()}", fault)
    }
