package corneltrack.router

import corneltrack.world.Findings
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/**
 * Reads one JSON object of the settings and adds a finding for each key that is missing, invalid or unknown.
 *
 * Functions that add a finding still return a value, so that a single pass collects all findings.
 *
 * @param path the path of the object within the settings, for example `$.platform`.
 */
internal class SettingsReader(
    private val source: JsonObject,
    private val path: String,
    private val findings: Findings,
) {
    private val readKeys = mutableSetOf<String>()

    fun string(key: String, default: String? = null): String {
        val value = primitive(key)
        if (value == null && default != null && key !in source) {
            return default
        }
        findings.require(value?.isString == true, "$path.$key", "a string", source[key] ?: "nothing")
        return value?.content.orEmpty()
    }

    fun long(key: String, default: Long, range: LongRange): Long {
        val value = primitive(key)?.takeIf { !it.isString }?.longOrNull
        if (key !in source) {
            return default
        }
        findings.require(value != null && value in range, "$path.$key", "an integer in $range", source[key])
        return value ?: default
    }

    fun port(key: String): Int {
        val value = primitive(key)?.takeIf { !it.isString }?.intOrNull
        val valid = value != null && value in 0..MAXIMUM_PORT
        findings.require(valid, "$path.$key", "a port in 0..$MAXIMUM_PORT", source[key] ?: "nothing")
        return value ?: 0
    }

    fun section(key: String): SettingsReader {
        readKeys += key
        val value = source[key]
        findings.require(value is JsonObject, "$path.$key", "an object", value ?: "nothing")
        return SettingsReader(value as? JsonObject ?: JsonObject(emptyMap()), "$path.$key", findings)
    }

    fun sections(key: String): List<SettingsReader> {
        readKeys += key
        val value = source[key]
        findings.require(value is JsonArray, "$path.$key", "an array of objects", value ?: "nothing")
        return (value as? JsonArray).orEmpty().mapIndexed { index, element -> element.toSection("$path.$key[$index]") }
    }

    /** Adds a finding for each key of this object that has not been read. */
    fun reportUnknownKeys() {
        (source.keys - readKeys).sorted().forEach { key ->
            findings.require(false, "$path.$key", "a known key", source[key])
        }
    }

    private fun primitive(key: String): JsonPrimitive? {
        readKeys += key
        return source[key] as? JsonPrimitive
    }

    private fun JsonElement.toSection(elementPath: String): SettingsReader {
        findings.require(this is JsonObject, elementPath, "an object", this)
        return SettingsReader(this as? JsonObject ?: JsonObject(emptyMap()), elementPath, findings)
    }
}

private const val MAXIMUM_PORT = 65_535
