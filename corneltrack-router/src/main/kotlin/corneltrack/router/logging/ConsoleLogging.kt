package corneltrack.router.logging

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.Configuration
import org.apache.logging.log4j.core.config.ConfigurationFactory
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.layout.AbstractStringLayout
import java.net.URI
import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter

private const val LEVEL_VARIABLE = "CORNELTRACK_LOG_LEVEL"
private const val BOUNDED_APPENDER = "bounded"
private const val DROPPED_LOGGER = "ConsoleLogging"

/**
 * Configures Log4j to write to standard output without blocking: while nobody reads it, a bounded number of events
 * waits.
 *
 * Registered in `log4j2.component.properties`. Configured in code, because parsing a configuration file takes as long
 * as the rest of a router's start. The environment variable `CORNELTRACK_LOG_LEVEL` sets the minimum level, INFO by
 * default.
 */
public class ConsoleLogging : ConfigurationFactory() {
    override fun getSupportedTypes(): Array<String> = arrayOf("*")

    override fun getConfiguration(context: LoggerContext?, source: ConfigurationSource?): Configuration =
        ConsoleConfiguration(context)

    override fun getConfiguration(context: LoggerContext?, name: String?, location: URI?): Configuration =
        ConsoleConfiguration(context)
}

private class ConsoleConfiguration(context: LoggerContext?) :
    AbstractConfiguration(context, ConfigurationSource.NULL_SOURCE) {
    override fun setup() {
        isShutdownHookEnabled = false
        val bounded = BoundedAppender(BOUNDED_APPENDER, LineLayout(), ::droppedLine)
        addAppender(bounded)
        getRootLogger().addAppender(bounded, null, null)
        getRootLogger().level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
    }

    override fun doConfigure(): Unit = Unit
}

/** Returns the line that says how many lines are missing before it. */
private fun droppedLine(count: Long): String {
    val time = LINE_TIME.format(Instant.now())
    return "time=$time level=${Level.WARN} logger=$DROPPED_LOGGER event=log_lines_dropped count=$count\n"
}

private val LINE_TIME: DateTimeFormatter = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'")
    .withZone(ZoneOffset.UTC)

/** Formats an event as one line: its time, level and logger, followed by its own fields. */
private class LineLayout : AbstractStringLayout(Charsets.UTF_8) {
    override fun toSerializable(event: LogEvent): String {
        val time = LINE_TIME.format(Instant.ofEpochMilli(event.timeMillis))
        val logger = event.loggerName.substringAfterLast('.')
        return "time=$time level=${event.level} logger=$logger ${event.message.formattedMessage}\n"
    }
}
