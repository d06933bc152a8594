package corneltrack.router.relay

import corneltrack.policy.placement.Generation

/** Returns the work for a model engine that a request causes, of a stream that is taken up the rest; null for others. */
internal fun callWork(metadata: CallerMetadata): Generation? {
    val whole = metadata.readGeneration()
    return if (metadata.takesUp == null) whole else whole?.remainder
}
