package corneltrack.router

import corneltrack.wire.HostAndPort
import corneltrack.world.DataCentre
import corneltrack.world.DataCentreId
import corneltrack.world.Finding
import corneltrack.world.Findings
import corneltrack.world.InstanceId
import corneltrack.world.RegionId
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

private const val MINIMUM_SECRET_LENGTH = 16
private const val DEFAULT_THREADS = 2L
private const val MAXIMUM_THREADS = 256L
private const val DEFAULT_BODY_BYTES = 1_048_576L
private const val MAXIMUM_BODY_BYTES = 67_108_864L
private const val DEFAULT_SPILL_MS = 1_000L
private const val DEFAULT_CLAIM_RETENTION_MS = 86_400_000L
private const val MAXIMUM_TIME_MS = 864_000_000L
private const val DEFAULT_DRAIN_MS = 600_000L
private const val DEFAULT_QUEUE_BYTES = 268_435_456L

/** Where the platform's services listen, as host and port. */
public data class PlatformSettings(val log: String, val instances: String)

/**
 * Bounds what a router keeps and for how long.
 *
 * @property bodyBytes the largest body of a caller's request, in bytes.
 * @property queuedBytes the most bytes of waiting bodies before further requests are refused.
 * @property spillAfterMs how long a request waits before another region's cell is asked, in ms.
 * @property claimRetentionMs how long an idempotency key is remembered, in ms.
 * @property drainMs the longest graceful shutdown, in ms.
 */
public data class LimitSettings(
    val bodyBytes: Int,
    val queuedBytes: Long,
    val spillAfterMs: Long,
    val claimRetentionMs: Long,
    val drainMs: Long,
)

/** Holds the checked settings of one router process. */
public data class RouterSettings(
    val id: InstanceId,
    val dataCentre: DataCentreId,
    val callers: HostAndPort,
    val control: HostAndPort,
    val secret: String,
    val platform: PlatformSettings,
    val dataCentres: List<DataCentre>,
    val threads: Int,
    val limits: LimitSettings,
) {
    /** Returns the region of [dataCentre]; one that the settings do not name is a region of its own. */
    public fun regionOf(dataCentre: DataCentreId): RegionId =
        dataCentres.firstOrNull { it.id == dataCentre }?.region ?: RegionId(dataCentre.value)

    override fun toString(): String = "RouterSettings(id=$id, dataCentre=$dataCentre)"
}

/** Tells what a settings text came to. */
public sealed interface SettingsResult {
    /** The settings hold. */
    public data class Valid(val settings: RouterSettings) : SettingsResult

    /** The settings have faults, all of which are listed. */
    public data class Invalid(val findings: List<Finding>) : SettingsResult
}

/** Reads router settings from JSON [text] and collects every fault with its place. */
public fun parseRouterSettings(text: String): SettingsResult {
    val findings = Findings()
    val root = parseObject(text, findings)
    val settings = root?.let { SettingsReader(it, "$", findings).routerSettings(findings) }
    val valid = settings != null && findings.all.isEmpty()
    return if (valid) SettingsResult.Valid(settings!!) else SettingsResult.Invalid(findings.all)
}

private fun parseObject(text: String, findings: Findings): JsonObject? =
    try {
        val root = Json.parseToJsonElement(text)
        findings.require(root is JsonObject, "$", "an object", root)
        root as? JsonObject
    } catch (fault: SerializationException) {
        findings.require(false, "$", "JSON", fault.message.orEmpty().lineSequence().first())
        null
    }

private fun SettingsReader.routerSettings(findings: Findings): RouterSettings {
    val settings = RouterSettings(
        id = InstanceId(string("id")),
        dataCentre = DataCentreId(string("dataCentre")),
        callers = section("callers").address(),
        control = section("control").address(),
        secret = string("secret"),
        platform = section("platform").platform(findings),
        dataCentres = sections("dataCentres").map { it.dataCentre() },
        threads = long("threads", DEFAULT_THREADS, 1..MAXIMUM_THREADS).toInt(),
        limits = section("limits").limits(),
    )
    reportUnknownKeys()
    val known = settings.dataCentres.any { it.id == settings.dataCentre }
    findings.require(known, "$.dataCentre", "one of dataCentres", settings.dataCentre)
    val longEnough = settings.secret.length >= MINIMUM_SECRET_LENGTH
    findings.require(longEnough, "$.secret", "at least 16 characters", "${settings.secret.length} characters")
    return settings
}

private fun SettingsReader.address(): HostAndPort =
    HostAndPort(string("host"), port("port")).also { reportUnknownKeys() }

private fun SettingsReader.dataCentre(): DataCentre =
    DataCentre(DataCentreId(string("id")), RegionId(string("region"))).also { reportUnknownKeys() }

private fun SettingsReader.platform(findings: Findings): PlatformSettings {
    val platform = PlatformSettings(string("log"), string("instances"))
    listOf("log" to platform.log, "instances" to platform.instances).forEach { (key, address) ->
        findings.require(HostAndPort.parse(address) != null, "$.platform.$key", "host:port", address)
    }
    reportUnknownKeys()
    return platform
}

private fun SettingsReader.limits(): LimitSettings = LimitSettings(
    bodyBytes = long("bodyBytes", DEFAULT_BODY_BYTES, 1..MAXIMUM_BODY_BYTES).toInt(),
    queuedBytes = long("queuedBytes", DEFAULT_QUEUE_BYTES, 1..Long.MAX_VALUE),
    spillAfterMs = long("spillAfterMs", DEFAULT_SPILL_MS, 0..MAXIMUM_TIME_MS),
    claimRetentionMs = long("claimRetentionMs", DEFAULT_CLAIM_RETENTION_MS, 1..MAXIMUM_TIME_MS),
    drainMs = long("drainMs", DEFAULT_DRAIN_MS, 1..MAXIMUM_TIME_MS),
).also { reportUnknownKeys() }
