package corneltrack.router

import java.util.concurrent.TimeUnit

/** Returns the current time in ms. */
internal typealias Clock = () -> Long

/** A clock that never goes back. Its values can be compared only within this process. */
internal val monotonicClock: Clock = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) }

/** The time in ms since the Unix epoch, which may go back when the system clock is adjusted. */
internal val wallClock: Clock = System::currentTimeMillis
