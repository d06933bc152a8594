package corneltrack.router.logging

import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.appender.AbstractAppender
import org.apache.logging.log4j.core.config.Property
import org.apache.logging.log4j.core.layout.AbstractStringLayout
import java.io.BufferedOutputStream
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.util.concurrent.TimeUnit

/** How long a process that ends waits for the reader of its log, in ms. */
private const val CLOSE_TIMEOUT_MS = 1_000L

/**
 * Appends events to standard output and never blocks, nor writes anything itself on the thread that logs.
 *
 * Takes the place of Log4j's asynchronous appender, which reports a full buffer on standard error, from the thread that
 * logs.
 */
internal class BoundedAppender(name: String, private val layout: AbstractStringLayout, note: (count: Long) -> String) :
    AbstractAppender(name, null, layout, false, Property.EMPTY_ARRAY) {
    private val writer = BoundedWriter<LogEvent>(
        "log",
        BufferedOutputStream(FileOutputStream(FileDescriptor.out)),
        layout::toByteArray,
        { note(it).toByteArray() },
    )

    override fun append(event: LogEvent) = writer.offer(event.toImmutable())

    override fun stop(timeout: Long, timeUnit: TimeUnit): Boolean {
        setStopping()
        writer.close(CLOSE_TIMEOUT_MS)
        return super.stop(timeout, timeUnit, false)
    }
}
