package corneltrack.policy.limits

/** Odd multiplier that spreads consecutive intervals over the routers, as in Fibonacci hashing. */
private const val SPREAD = -0x61c8864680b583ebL
private const val SPREAD_SHIFT = 33

/**
 * The place of a router in its fleet.
 *
 * @property position its position among all [routers] in the order of their names, from 0.
 * @property routers the number of routers that are listed, whether this one hears them or not: each then keeps to its
 *   own part although it cannot know what the others do.
 */
public data class FleetPosition(val position: Int, val routers: Int) {
    /**
     * Returns how many of the [starts] that the fleet has in [interval] belong to this router.
     *
     * All routers together have just as many as there are. Which of them come first does not depend on [starts], so
     * that routers that believe in different numbers still exceed the larger one hardly.
     */
    public fun turns(starts: Int, interval: Long): Int {
        val offset = Math.floorMod((interval * SPREAD) ushr SPREAD_SHIFT, routers.toLong()).toInt()
        val rank = (position + offset) % routers
        return starts / routers + if (rank < starts % routers) 1 else 0
    }
}
