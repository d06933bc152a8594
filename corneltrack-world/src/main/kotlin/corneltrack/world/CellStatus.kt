package corneltrack.world

import kotlinx.serialization.Serializable

/**
 * Shows one cell as its allocator sees it.
 *
 * @property usable the slots, own and borrowed, that may be lent at present.
 * @property borrowed those of [usable] that other cells of the pool have lent.
 * @property lent the slots that routers of the home group may be using.
 * @property lentAway the slots that other cells of the pool may be using.
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
