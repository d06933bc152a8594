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
private const val DEFAULT_QUEUED_BYTES = 268_435_456L

/**
 * The addresses of the platform's services, as host:port.
 *
 * @property log the log of configuration and claims.
 * @property instances the service that returns the instance list.
 */
public data class PlatformSettings(val log: String, val instances: String)

/**
 * The limits of a router's memory use and of its times.
 *
 * @property bodyBytes the maximum size of a request body, in bytes.
 * @property queuedBytes the maximum total size of buffered request bodies, in bytes. Above it new requests are refused.
 * @property spillAfterMs how long a request waits before slots of other cells are used for it, in ms.
 * @property claimRetentionMs how long an idempotency key is remembered, in ms.
 * @property drainMs the maximum duration of a graceful shutdown, in ms.
 */
public data class LimitSettings(
    val bodyBytes: Int,
    val queuedBytes: Long,
    val spillAfterMs: Long,
    val claimRetentionMs: Long,
    val drainMs: Long,
)

/**
 * The validated settings of a router process.
 *
 * @property callers the address that listens for callers' requests.
 * @property control the address that listens for requests of peers and operators.
 * @property secret the secret that authenticates control requests.
 * @property threads the number of event loop threads for callers' requests.
 */
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
    /** Returns the region of [dataCentre]. A data centre that is not in the settings forms a region of its own. */
    public fun regionOf(dataCentre: DataCentreId): RegionId =
        dataCentres.firstOrNull { it.id == dataCentre }?.region ?: RegionId(dataCentre.value)

    /** Omits the secret. */
    override fun toString(): String = "RouterSettings(id=$id, dataCentre=$dataCentre)"
}

/** The result of parsing settings. */
public sealed interface SettingsResult {
    /** The settings are valid. */
    public data class Valid(val settings: RouterSettings) : SettingsResult

    /** The settings are invalid. [findings] lists all invalid values. */
    public data class Invalid(val findings: List<Finding>) : SettingsResult
}

/** Parses router settings from JSON [text] and collects a finding for each invalid value. */
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
    queuedBytes = long("queuedBytes", DEFAULT_QUEUED_BYTES, 1..Long.MAX_VALUE),
    spillAfterMs = long("spillAfterMs", DEFAULT_SPILL_MS, 0..MAXIMUM_TIME_MS),
    claimRetentionMs = long("claimRetentionMs", DEFAULT_CLAIM_RETENTION_MS, 1..MAXIMUM_TIME_MS),
    drainMs = long("drainMs", DEFAULT_DRAIN_MS, 1..MAXIMUM_TIME_MS),
).also { reportUnknownKeys() }
