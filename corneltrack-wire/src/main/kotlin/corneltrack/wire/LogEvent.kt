package corneltrack.wire

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.Logger

private const val UNQUOTED_PUNCTUATION = "_.:/@+-"
private const val FIRST_PRINTABLE = ' '
private const val LAST_PRINTABLE = '~'

/** Builds one log line of `key=value` fields. */
public class LogEvent internal constructor(name: String) {
    private val fields = StringBuilder("event=").append(escapeLogValue(name))

    /** Adds a field, with [value] quoted and escaped if necessary. */
    public fun field(key: String, value: Any?) {
        fields.append(' ').append(key).append('=').append(escapeLogValue(value.toString()))
    }

    internal fun text(): String = fields.toString()
}

/** Logs the event [name] with [fields] at [level]. Does not evaluate [fields] if the level is disabled. */
public fun Logger.event(name: String, level: Level = Level.INFO, fields: LogEvent.() -> Unit = {}) {
    if (isEnabled(level)) {
        log(level, LogEvent(name).apply(fields).text())
    }
}

/** Returns [value], quoted and escaped if necessary, so that it cannot inject a field or a line into the log. */
public fun escapeLogValue(value: String): String =
    if (value.isNotEmpty() && value.all(::needsNoQuotes)) value else value.map(::escape).joinToString("", "\"", "\"")

private fun needsNoQuotes(character: Char): Boolean =
    character in 'a'..'z' || character in '0'..'9' || character in 'A'..'Z' || character in UNQUOTED_PUNCTUATION

private fun escape(character: Char): String = when {
    character == '"' || character == '\\' -> "\\$character"
    character in FIRST_PRINTABLE..LAST_PRINTABLE -> character.toString()
    else -> "\\u%04x".format(character.code)
}
