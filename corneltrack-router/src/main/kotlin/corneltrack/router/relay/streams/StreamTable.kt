package corneltrack.router.relay.streams

import corneltrack.policy.streams.StreamKey
import corneltrack.policy.streams.StreamOrigin
import corneltrack.wire.wireProtobuf
import corneltrack.world.PoolId
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** The streams in a record, those begun last, so that the store takes it: each needs up to 18 bytes of 262,144. */
private const val MAXIMUM_SHARED_STREAMS = 12_000

/**
 * A version of a pool's endpoints and the streams that it began, as routers write them to the store.
 *
 * @property keys the streams.
 * @property expiresMs when each stream can no longer be taken up, in ms since the epoch, in the order of [keys].
 */
@Serializable
internal class StreamRow(
    val pool: String,
    val version: String,
    val keys: List<Long> = emptyList(),
    val expiresMs: List<Long> = emptyList(),
)

/**
 * What a router writes to the store while several versions may have begun the streams of a pool.
 *
 * @property mixedUntilMs for each of these pools until when that is so, in ms since the epoch.
 */
@Serializable
internal class StreamTable(
    val rows: List<StreamRow> = emptyList(),
    val mixedUntilMs: Map<String, Long> = emptyMap(),
) {
    /** The streams and their origins. */
    val origins: List<Pair<StreamKey, StreamOrigin>>
        get() = rows.flatMap { row ->
            row.keys.zip(row.expiresMs).map { (key, expiresMs) ->
                StreamKey(key) to StreamOrigin(PoolId(row.pool), row.version, expiresMs)
            }
        }

    fun encode(): ByteArray = wireProtobuf.encodeToByteArray(this)

    companion object {
        /** Returns the table of [origins], of which those of other pools than [mixedUntilMs] names are left out. */
        fun of(origins: Map<StreamKey, StreamOrigin>, mixedUntilMs: Map<PoolId, Long>): StreamTable {
            val shared = origins.entries.filter { it.value.pool in mixedUntilMs }.takeLast(MAXIMUM_SHARED_STREAMS)
            val rows = shared.groupBy { it.value.pool to it.value.version }.map { (made, entries) ->
                val (pool, version) = made
                StreamRow(pool.value, version, entries.map { it.key.value }, entries.map { it.value.expiresMs })
            }
            return StreamTable(rows, mixedUntilMs.mapKeys { it.key.value })
        }

        /** Decodes a table, or returns null if [bytes] are none. */
        fun decode(bytes: ByteArray): StreamTable? = try {
            wireProtobuf.decodeFromByteArray<StreamTable>(bytes)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
