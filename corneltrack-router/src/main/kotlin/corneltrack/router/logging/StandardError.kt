package corneltrack.router.logging

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.status.StatusData
import org.apache.logging.log4j.status.StatusListener
import org.apache.logging.log4j.status.StatusLogger
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.OutputStream
import java.io.PrintStream

/**
 * Has whatever writes to standard error from now on wait for no reader: Log4j's own messages, traces of uncaught
 * exceptions, and other code.
 *
 * To be called once the process is to serve: what a process writes before it exits by itself must not be lost.
 */
public fun boundStandardError() {
    System.setErr(PrintStream(BoundedStream(FileOutputStream(FileDescriptor.err)), true))
    StatusLogger.getLogger().registerListener(BoundedStatusListener())
}

/** Passes on what is written in one call as one entry, without blocking. */
private class BoundedStream(stream: OutputStream) : OutputStream() {
    private val writer = BoundedWriter<ByteArray>(
        "standard-error",
        stream,
        { it },
        { "$it writes to standard error were dropped\n".toByteArray() },
    )

    override fun write(byte: Int) = writer.offer(byteArrayOf(byte.toByte()))

    override fun write(bytes: ByteArray, offset: Int, length: Int) =
        writer.offer(bytes.copyOfRange(offset, offset + length))
}

/** Writes Log4j's messages on itself to the present [System.err]; its own listener keeps the stream of its start. */
private class BoundedStatusListener : StatusListener {
    override fun log(data: StatusData) = System.err.println(data.formattedStatus)

    override fun getStatusLevel(): Level = Level.ERROR

    override fun close(): Unit = Unit
}
