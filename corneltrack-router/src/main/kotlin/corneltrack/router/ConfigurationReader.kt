package corneltrack.router

import corneltrack.wire.CONFIGURATION_STREAM
import corneltrack.wire.LogClient
import corneltrack.wire.LogPage
import corneltrack.wire.ReadResult
import corneltrack.wire.event
import corneltrack.wire.wireJson
import corneltrack.world.Configuration
import corneltrack.world.ConfigurationEntry
import corneltrack.world.FoldResult
import corneltrack.world.SnapshotRecord
import corneltrack.world.StreamEntry
import corneltrack.world.UnreadableEntry
import corneltrack.world.fold
import kotlinx.serialization.SerializationException
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private const val LONG_POLL_MS = 5_000L
private const val RETRY_MS = 500L
private val logger = LogManager.getLogger("corneltrack.router.ConfigurationReader")

/** Follows the configuration stream of the log by long polling and publishes each new configuration to [views]. */
internal class ConfigurationReader(
    private val log: LogClient,
    private val views: RouterViews,
    private val executor: ScheduledExecutorService,
    private val clock: Clock,
) {
    @Volatile
    private var lastResponseMs: Long? = null

    /** The offset of the last snapshot that was read from the stream, or -1 if there is none. */
    @Volatile
    var snapshotOffset: Long = -1
        private set

    /** Returns the time since the last response of the log, in ms, or null if there was none. */
    fun ageMs(nowMs: Long): Long? = lastResponseMs?.let { nowMs - it }

    /** Starts to read the stream. Must be called once. */
    fun start() = read(0)

    private fun read(waitMs: Long) {
        val from = views.current.configuration.offset + 1
        log.read(CONFIGURATION_STREAM, from, waitMs).whenCompleteAsync({ result, _ ->
            val page = (result as? ReadResult.Page)?.page
            if (page == null) {
                executor.schedule({ read(0) }, RETRY_MS, TimeUnit.MILLISECONDS)
            } else {
                lastResponseMs = clock()
                val advanced = apply(page)
                if (advanced || page.records.isEmpty()) read(LONG_POLL_MS) else retryLater()
            }
        }, executor)
    }

    private fun retryLater() {
        executor.schedule({ read(0) }, RETRY_MS, TimeUnit.MILLISECONDS)
    }

    /** Applies the records of [page]. Returns whether the configuration advanced. */
    private fun apply(page: LogPage): Boolean {
        val entries = page.records.map { StreamEntry(it.offset, decode(it.offset, it.data)) }
        entries.lastOrNull { it.entry is SnapshotRecord }?.let { snapshotOffset = it.offset }
        val result = views.current.configuration.fold(entries, page.oldest)
        if (result is FoldResult.Gap) {
            logger.event("configuration_gap", Level.ERROR) {
                field("have", result.appliedOffset)
                field("oldest", result.oldestOffset)
            }
        }
        return result is FoldResult.Folded && publish(result.configuration)
    }

    private fun publish(configuration: Configuration): Boolean {
        val published = views.publish(configuration)
        if (published) {
            logger.event("configuration_applied") {
                field("offset", configuration.offset)
                field("version", configuration.version)
            }
        }
        return published
    }

    private fun decode(offset: Long, data: String): ConfigurationEntry =
        try {
            wireJson.decodeFromString<ConfigurationEntry>(data)
        } catch (fault: SerializationException) {
            logger.event("configuration_unreadable", Level.ERROR) {
                field("offset", offset)
                field("reason", fault.message)
            }
            UnreadableEntry
        }
}
