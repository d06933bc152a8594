package corneltrack.router

import corneltrack.policy.rendezvous
import corneltrack.wire.CONFIGURATION_STREAM
import corneltrack.wire.LogClient
import corneltrack.wire.event
import corneltrack.wire.wireJson
import corneltrack.world.ConfigurationEntry
import corneltrack.world.MemberState
import corneltrack.world.SnapshotRecord
import kotlinx.serialization.encodeToString
import org.apache.logging.log4j.LogManager

private const val ENTRIES_PER_SNAPSHOT = 50
private const val SNAPSHOT_PERIOD_MS = 600_000L
private const val RETRY_MS = 5_000L
private val logger = LogManager.getLogger("corneltrack.router.SnapshotDuty")

/**
 * Appends snapshots of the configuration to its stream before older records of it expire.
 *
 * Each router determines from its own view whether it is the one that appends. Views may differ for a while, but
 * appending a snapshot twice has no effect. Must be used on the control thread only.
 */
internal class ConfigurationSnapshotter(
    private val settings: RouterSettings,
    private val views: RouterViews,
    private val log: LogClient,
    private val reader: ConfigurationReader,
    private val clock: Clock,
) {
    private var lastAttemptMs = clock()
    private var lastAppendMs = clock()

    /**
     * Appends a snapshot if this router is responsible and one is due: after [ENTRIES_PER_SNAPSHOT] entries, or after
     * [SNAPSHOT_PERIOD_MS].
     */
    fun tick() {
        val nowMs = clock()
        val configuration = views.current.configuration
        val entriesSinceSnapshot = configuration.offset - maxOf(reader.snapshotOffset, 0)
        val due = entriesSinceSnapshot >= ENTRIES_PER_SNAPSHOT || nowMs - lastAppendMs >= SNAPSHOT_PERIOD_MS
        if (!configuration.loaded || !due || nowMs - lastAttemptMs < RETRY_MS) {
            return
        }
        lastAttemptMs = nowMs
        if (!isResponsible()) {
            return
        }
        lastAppendMs = nowMs
        val trimmed = configuration.copy(history = configuration.history.takeLast(ENTRIES_PER_SNAPSHOT))
        log.append(CONFIGURATION_STREAM, wireJson.encodeToString<ConfigurationEntry>(SnapshotRecord(trimmed)))
        logger.event("snapshot_appended") { field("covers", configuration.offset) }
    }

    private fun isResponsible(): Boolean {
        val live = views.current.fleet.instances.filter { it.state == MemberState.LIVE }
        return rendezvous("configuration-snapshot", live) { it.id.value }?.id == settings.id
    }
}
