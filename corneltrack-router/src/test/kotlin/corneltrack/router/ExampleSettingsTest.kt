package corneltrack.router

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ExampleSettingsTest {
    @Test
    fun `example settings of each deployment are valid and define nine routers in three data centres`() {
        val root = File(System.getProperty("corneltrack.root"), "examples")
        listOf("hinokuni", "kask-tamm").forEach { deployment ->
            val files = File(root, deployment).listFiles { file -> "-router-" in file.name }.orEmpty()
            val settings = files.map { file ->
                assertIs<SettingsResult.Valid>(parseRouterSettings(file.readText()), file.path).settings
            }
            assertEquals(9, settings.map { it.id }.toSet().size, deployment)
            assertEquals(3, settings.map { it.dataCentre }.toSet().size, deployment)
        }
    }
}
