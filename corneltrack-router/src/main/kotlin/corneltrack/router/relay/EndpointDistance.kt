package corneltrack.router.relay

import corneltrack.world.Endpoint

private const val SAME_DATA_CENTRE_LATENCY_MS = 1.0
private const val SAME_REGION_LATENCY_MS = 5.0

/** Two round trips at 30 ms each way: one to connect, one for the response. */
private const val OTHER_REGION_LATENCY_MS = 125.0

/** Whether [endpoint] is in the region of this router. */
internal fun RelaySettings.isInRegion(endpoint: Endpoint): Boolean = regions[endpoint.dataCentre] == region

/** Returns the time that the network adds to the first response of [endpoint], in ms. */
internal fun RelaySettings.networkDelayMs(endpoint: Endpoint): Double = when {
    endpoint.dataCentre == dataCentre -> SAME_DATA_CENTRE_LATENCY_MS
    isInRegion(endpoint) -> SAME_REGION_LATENCY_MS
    else -> OTHER_REGION_LATENCY_MS
}
