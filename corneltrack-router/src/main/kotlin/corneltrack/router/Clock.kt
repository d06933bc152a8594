package corneltrack.router

import java.util.concurrent.TimeUnit

/** Tells a monotonic time in ms, which never goes back and has no relation to the time of day. */
internal typealias Clock = () -> Long

internal val monotonicClock: Clock = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) }

/** Tells the time of day in ms since the epoch. */
internal val wallClock: Clock = System::currentTimeMillis
