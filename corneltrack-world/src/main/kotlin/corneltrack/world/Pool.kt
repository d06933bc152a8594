package corneltrack.world

import kotlinx.serialization.Serializable

private const val DEFAULT_COLD_LIMIT = 1
private const val DEFAULT_ENDPOINT_LIMIT = 8
private const val DEFAULT_DEADLINE_MS = 120_000L
private const val DEFAULT_SILENCE_LIMIT_MS = 10_000L
private const val MAXIMUM_ENDPOINT_LIMIT = 4_096
private const val MAXIMUM_TIME_MS = 3_600_000L

/** The protocol that the endpoints of a pool serve. */
@Serializable
public enum class PoolKind {
    /** Model engines behind the OpenAI-compatible chat API. */
    MODEL,

    /** A plain HTTP service that is reached by a path prefix. */
    SERVICE,
}

/**
 * Configures a pool of endpoints that are interchangeable for callers.
 *
 * @property route the path prefix of a plain service, for example `/orders`; null for a model.
 * @property coldLimit the maximum number of concurrent requests to an endpoint during its cold start.
 * @property endpointLimit the maximum number of concurrent requests to one endpoint.
 * @property deadlineMs the time from arrival to the latest start of a request without a deadline header, in ms.
 * @property silenceLimitMs the idle timeout after which an open response counts as lost, in ms.
 * @property repeatableMethods the HTTP methods of a plain service that are idempotent.
 * @property resumable whether the engines of a model pool retain their streams for a while, so that a stream whose
 *   connection breaks can be resumed from any byte.
 */
@Serializable
public data class Pool(
    val id: PoolId,
    val kind: PoolKind,
    val route: String? = null,
    val coldLimit: Int = DEFAULT_COLD_LIMIT,
    val endpointLimit: Int = DEFAULT_ENDPOINT_LIMIT,
    val deadlineMs: Long = DEFAULT_DEADLINE_MS,
    val silenceLimitMs: Long = DEFAULT_SILENCE_LIMIT_MS,
    val repeatableMethods: Set<String> = setOf("GET", "HEAD", "OPTIONS"),
    val resumable: Boolean = false,
) {
    /** Adds a finding for each invalid value, with a path below [path]. */
    public fun validate(path: String, findings: Findings) {
        val routed = kind == PoolKind.MODEL || route?.startsWith("/") == true
        findings.require(id.value.isNotBlank(), "$path.id", "a name", id)
        findings.require(routed, "$path.route", "a path that starts with /", route)
        findings.require(route != "/v1" && route?.startsWith("/v1/") != true, "$path.route", "not below /v1", route)
        findings.require(!resumable || kind == PoolKind.MODEL, "$path.resumable", "false for a service", resumable)
        findings.require(endpointLimit in 1..MAXIMUM_ENDPOINT_LIMIT, "$path.endpointLimit", "1..4096", endpointLimit)
        findings.require(coldLimit in 1..endpointLimit, "$path.coldLimit", "1..endpointLimit", coldLimit)
        findings.require(deadlineMs in 1..MAXIMUM_TIME_MS, "$path.deadlineMs", "1..3600000", deadlineMs)
        findings.require(silenceLimitMs in 1..MAXIMUM_TIME_MS, "$path.silenceLimitMs", "1..3600000", silenceLimitMs)
    }
}

/** Identifies one pool in one data centre, which is the unit in which slots are allocated. */
@Serializable
public data class Cell(val pool: PoolId, val dataCentre: DataCentreId) : Comparable<Cell> {
    override fun compareTo(other: Cell): Int =
        compareValuesBy(this, other, { it.pool.value }, { it.dataCentre.value })

    override fun toString(): String = "$pool@$dataCentre"
}
