package corneltrack.world

import kotlinx.serialization.Serializable

/**
 * Describes a cell as its allocator sees it.
 *
 * @property supporters the number of routers that support the allocator.
 * @property listed the number of routers that the allocator counts as listed.
 * @property limits the concurrency limit of each endpoint.
 * @property usable the number of slots, own and borrowed, that may be granted at present.
 * @property borrowed the number of slots in [usable] that other cells of the pool have lent.
 * @property lent the number of slots that routers of the home group may be using.
 * @property lentAway the number of slots that other cells of the pool may be using.
 * @property running the number of requests that run.
 * @property waiting the number of requests that wait for a slot.
 * @property cold the number of endpoints in cold start.
 */
@Serializable
public data class CellStatus(
    val cell: Cell,
    val supporters: Int,
    val listed: Int,
    val limits: Map<EndpointId, Int>,
    val usable: Int,
    val borrowed: Int,
    val lent: Int,
    val lentAway: Int,
    val running: Int,
    val waiting: Int,
    val cold: Int,
)
