package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.RolloutOrder
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.world.PoolId

/** The content of an operators' record that asks for a roll-out. */
public sealed interface RolloutOrderRecord {
    /** The record holds [order]. */
    public data class Valid(val order: RolloutOrder) : RolloutOrderRecord

    /** The record is no order, for [reason]; it changes nothing. */
    public data class Invalid(val reason: String) : RolloutOrderRecord
}

/**
 * Decodes and encodes the records of roll-outs.
 *
 * @property decodeOrder decodes the operators' record of a pool, which is at an offset of their topic.
 * @property statusPool returns the pool whose status has the key, or null if the key is another record's.
 * @property statusKey returns the key of a pool's status; the inverse of [statusPool].
 * @property decodeStatus decodes a status, or returns null if it is invalid.
 * @property encodeStatus encodes a status.
 */
public class RolloutRecords(
    public val decodeOrder: (pool: PoolId, value: ByteArray, offset: Long) -> RolloutOrderRecord,
    public val statusPool: (key: String) -> PoolId?,
    public val statusKey: (pool: PoolId) -> String,
    public val decodeStatus: (value: ByteArray) -> RolloutStatus?,
    public val encodeStatus: (status: RolloutStatus) -> ByteArray,
)
