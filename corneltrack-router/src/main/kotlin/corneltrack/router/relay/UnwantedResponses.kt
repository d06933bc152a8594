package corneltrack.router.relay

private const val MAXIMUM_STRAY_RESPONSES = 3
private const val MAXIMUM_INTERIM_RESPONSES = 3

/** How much of the bodies of stray responses is read before the connection is closed. */
private const val MAXIMUM_STRAY_BYTES = 1024 * 1024

/**
 * Counts what arrives on a connection before the response to the request: interim responses and stray ones, which
 * belong to other requests. Each function returns the reason to close the connection, or null.
 */
internal class UnwantedResponses {
    private var interimResponses = 0
    private var strayResponses = 0
    private var strayBytes = 0

    fun onInterimResponse(): String? =
        "interim answers without end".takeIf { ++interimResponses > MAXIMUM_INTERIM_RESPONSES }

    fun onStrayResponse(): String? =
        "answers to other requests".takeIf { ++strayResponses > MAXIMUM_STRAY_RESPONSES }

    fun onStrayContent(bytes: Int): String? {
        strayBytes += bytes
        return "an answer to another request without end".takeIf { strayBytes > MAXIMUM_STRAY_BYTES }
    }
}
