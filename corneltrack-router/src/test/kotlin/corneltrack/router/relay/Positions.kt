package corneltrack.router.relay

import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.discovery.TopicPosition

/** Returns a position in a topic of a store that is in its first era unless stated otherwise. */
internal fun at(offset: Long, era: Long = 1) = TopicPosition(StoreEra(era), offset)
