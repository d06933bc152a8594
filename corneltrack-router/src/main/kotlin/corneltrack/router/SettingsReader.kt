package corneltrack.router

import corneltrack.world.Findings
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/**
 * Reads one JSON object of settings and collects a finding for each missing, mistyped or unknown key.
 *
 * @param place the path of the object within the settings, for example `$.platform`.
 */
internal class SettingsReader(
    private val source: JsonObject,
    private val place: String,
    private val findings: Findings,
) {
    private val read = mutableSetOf<String>()

    fun text(key: String, default: String? = null): String {
        val value = primitive(key)
        if (value == null && default != null && key !in source) {
            return default
        }
        findings.require(value?.isString == true, "$place.$key", "a text", source[key] ?: "nothing")
        return value?.content.orEmpty()
    }

    fun whole(key: String, default: Long, range: LongRange): Long {
        val value = primitive(key)?.takeIf { !it.isString }?.longOrNull
        if (key !in source) {
            return default
        }
        findings.require(value != null && value in range, "$place.$key", "a whole number in $range", source[key])
        return value ?: default
    }

    fun port(key: String): Int {
        val value = primitive(key)?.takeIf { !it.isString }?.intOrNull
        val valid = value != null && value in 0..MAXIMUM_PORT
        findings.require(valid, "$place.$key", "a port in 0..$MAXIMUM_PORT", source[key] ?: "nothing")
        return value ?: 0
    }

    fun part(key: String): SettingsReader {
        read += key
        val value = source[key]
        findings.require(value is JsonObject, "$place.$key", "an object", value ?: "nothing")
        return SettingsReader(value as? JsonObject ?: JsonObject(emptyMap()), "$place.$key", findings)
    }

    fun parts(key: String): List<SettingsReader> {
        read += key
        val value = source[key]
        findings.require(value is JsonArray, "$place.$key", "a list of objects", value ?: "nothing")
        return (value as? JsonArray).orEmpty().mapIndexed { index, element -> element.reader("$place.$key[$index]") }
    }

    /** Adds a finding for each key that nothing has read. */
    fun finish() {
        (source.keys - read).sorted().forEach { key ->
            findings.require(false, "$place.$key", "no such key", source[key])
        }
    }

    private fun primitive(key: String): JsonPrimitive? {
        read += key
        return source[key] as? JsonPrimitive
    }

    private fun JsonElement.reader(elementPlace: String): SettingsReader {
        findings.require(this is JsonObject, elementPlace, "an object", this)
        return SettingsReader(this as? JsonObject ?: JsonObject(emptyMap()), elementPlace, findings)
    }
}

private const val MAXIMUM_PORT = 65_535
