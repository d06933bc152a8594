package corneltrack.router

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RouterSettingsTest {
    private val valid = """
        {"id": "r1", "dataCentre": "oita", "secret": "sixteen-letters!",
         "callers": {"host": "127.0.0.1", "port": 8080}, "control": {"host": "127.0.0.1", "port": 8081},
         "platform": {"log": "127.0.0.1:9000", "instances": "127.0.0.1:9001"},
         "dataCentres": [{"id": "oita", "region": "kyushu"}], "limits": {}}
    """

    @Test
    fun `parses valid settings`() {
        val settings = assertIs<SettingsResult.Valid>(parseRouterSettings(valid)).settings
        assertEquals("oita", settings.dataCentre.value)
        assertEquals(1_048_576, settings.limits.bodyBytes)
    }

    @Test
    fun `reports every invalid value with its path`() {
        val invalid = valid.replace("\"port\": 8080", "\"port\": \"x\"")
            .replace("\"limits\": {}", "\"limits\": {\"bodyBytes\": 0, \"colour\": 1}")
            .replace("127.0.0.1:9000", "nowhere")
            .replace("sixteen-letters!", "short")
        val findings = assertIs<SettingsResult.Invalid>(parseRouterSettings(invalid)).findings
        val paths = findings.map { it.path }.toSet()
        val expected = setOf("$.callers.port", "$.limits.bodyBytes", "$.limits.colour", "$.platform.log", "$.secret")
        assertEquals(expected, paths)
    }

    @Test
    fun `findings never contain the secret`() {
        val findings = assertIs<SettingsResult.Invalid>(parseRouterSettings(valid.replace("sixteen-letters!", "hush")))
            .findings
        assertEquals(false, findings.any { "hush" in it.toString() })
    }

    @Test
    fun `text that is not JSON yields a single finding`() {
        assertEquals("$", assertIs<SettingsResult.Invalid>(parseRouterSettings("{")).findings.single().path)
    }
}
