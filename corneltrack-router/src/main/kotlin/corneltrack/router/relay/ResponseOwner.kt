package corneltrack.router.relay

/** Says whose response arrived on a connection that waits for the response to one request. */
internal enum class ResponseOwner {
    /** The response states the id of the request. */
    THIS_REQUEST,

    /** The response states the id of another request. */
    OTHER_REQUEST,

    /** The endpoint signed the response, but did not state the request. */
    UNSTATED,

    /** Neither an id nor a signature says that an endpoint made the response. */
    NO_ENDPOINT,
}

/**
 * Returns whose response bears [metadata], for a connection that waits for the response to the request [requestId].
 *
 * The order of responses is no evidence, since an endpoint may respond twice. A request without an id is sent on a
 * connection of its own, where each response is for it.
 */
internal fun responseOwner(metadata: ResponseMetadata, requestId: String?): ResponseOwner {
    val stated = metadata.requestIds
    return when {
        requestId == null -> ResponseOwner.THIS_REQUEST
        stated.isEmpty() -> if (metadata.authentic) ResponseOwner.UNSTATED else ResponseOwner.NO_ENDPOINT
        stated.all { it == requestId } -> ResponseOwner.THIS_REQUEST
        else -> ResponseOwner.OTHER_REQUEST
    }
}
