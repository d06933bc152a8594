package corneltrack.control

import corneltrack.wire.strictJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.io.File
import java.io.IOException

/**
 * The settings of corneltrackctl.
 *
 * @property log the host and port of the platform's log.
 * @property instances the host and port of the platform's instance list.
 * @property secret the bearer token for requests to routers.
 * @property operator the name of the operator, for the audit trail.
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

/** Reads the settings in [file]. Throws [CommandException] if they are missing or invalid. */
internal fun readControlSettings(file: String): ControlSettings =
    try {
        strictJson.decodeFromString<ControlSettings>(File(file).readText())
    } catch (fault: IOException) {
        throw CommandException(ExitCode.USAGE, "$file: ${fault.message}", fault)
    } catch (fault: SerializationException) {
        throw CommandException(ExitCode.USAGE, "$file: ${fault.message.orEmpty().lineSequence().first()}", fault)
    }
