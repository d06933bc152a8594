package corneltrack.router

/** Returns [fraction] of the largest size of the heap, in bytes. */
internal fun heapFraction(fraction: Double): Long = (Runtime.getRuntime().maxMemory() * fraction).toLong()
