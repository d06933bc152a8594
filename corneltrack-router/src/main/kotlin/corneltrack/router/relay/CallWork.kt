package corneltrack.router.relay

import corneltrack.policy.placement.Generation

/** Returns the work for a model engine, of a stream that is taken up the rest of it; null for other requests. */
internal fun callWork(metadata: CallerMetadata): Generation? {
    val whole = metadata.readGeneration()
    return if (metadata.takesUp == null) whole else whole?.remainder
}
