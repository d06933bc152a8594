package corneltrack.router.logging

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** The entries that wait while the stream blocks; further ones are dropped. */
private const val MAXIMUM_WAITING = 1_024

/** How long the thread waits for an entry before it looks whether the writer has been closed, in ms. */
private const val IDLE_CHECK_MS = 100L

private val dropped = AtomicLong()

/** The entries of all writers that were dropped since the process began. */
internal val droppedEntries: Long get() = dropped.get()

/**
 * Writes entries to a stream on a thread of its own, so that whoever adds one never waits for the stream's reader.
 *
 * Answers a pipe that nobody reads: while the stream blocks, entries wait up to a bound, and further ones are dropped
 * and counted. An entry that the stream refuses is dropped as well. Thread-safe.
 *
 * @param name the name of the thread.
 * @param encode returns the bytes of an entry; runs on the writer's thread.
 * @param onDropped returns the bytes of a note on so many dropped entries, which is written once the stream takes any.
 */
internal class BoundedWriter<T : Any>(
    name: String,
    private val stream: OutputStream,
    private val encode: (T) -> ByteArray,
    private val onDropped: (count: Long) -> ByteArray,
) {
    private val waiting = ArrayBlockingQueue<T>(MAXIMUM_WAITING)
    private val unreported = AtomicLong()
    private val thread = Thread(::run, name).apply { isDaemon = true }

    @Volatile
    private var closed = false

    init {
        thread.start()
    }

    /** Adds [entry]. Never blocks. */
    fun offer(entry: T) {
        if (!waiting.offer(entry)) countDropped(1)
    }

    /** Writes what waits, for at most [timeoutMs], and ends the thread. What is not written by then is lost. */
    fun close(timeoutMs: Long) {
        closed = true
        thread.join(timeoutMs)
    }

    private fun run() {
        val batch = ArrayList<T>(MAXIMUM_WAITING)
        while (!closed || waiting.isNotEmpty()) {
            waiting.poll(IDLE_CHECK_MS, TimeUnit.MILLISECONDS)?.let { first ->
                batch += first
                waiting.drainTo(batch)
                write(batch)
                batch.clear()
            }
        }
    }

    private fun write(batch: List<T>) {
        val missing = unreported.getAndSet(0)
        try {
            if (missing > 0) stream.write(onDropped(missing))
            batch.forEach { stream.write(encode(it)) }
            stream.flush()
        } catch (_: IOException) {
            // The stream is closed or refuses: nobody can be told but by the count.
            unreported.addAndGet(missing)
            countDropped(batch.size.toLong())
        }
    }

    private fun countDropped(count: Long) {
        unreported.addAndGet(count)
        dropped.addAndGet(count)
    }
}
