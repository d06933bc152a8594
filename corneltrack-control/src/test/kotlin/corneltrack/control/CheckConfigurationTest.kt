package corneltrack.control

import kotlinx.cli.ArgParser
import java.io.File
import kotlin.io.path.createTempDirectory
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

private const val SOUND = """{"version":2,"route_table":[{"name":"order","hostname":"shop.example",
 "path_prefix":"/o/","type":"idempotent","timeout_ms":800,"target_latency_ms":300,"service":"desk",
 "max_attempts":1}],"services":[{"name":"desk"}],"tenants":[{"name":"w","api_keys":["secret"]}]}"""

class CheckConfigurationTest {
    private val directory: File = createTempDirectory("check").toFile()
    private val printed = ArrayList<String>()

    @AfterTest
    fun remove() {
        directory.deleteRecursively()
    }

    @Test
    fun `a sound configuration passes`() {
        check(file("new", SOUND))

        assertEquals(listOf("nothing found"), printed)
    }

    @Test
    fun `differences from the configuration in force are shown without keys`() {
        val inForce = SOUND.replace("\"version\":2", "\"version\":1").replace("800", "700").replace("secret", "former")
        check(file("new", SOUND), "--against", file("old", inForce))

        val expected = "change: route order, timeout: 700 ms -> 800 ms\n" +
            "change: workspace w, API keys: 1 revoked\nchange: workspace w, API keys: 1 added"
        assertEquals(listOf(expected), printed)
    }

    @Test
    fun `errors end the command with code 1 and an unreadable file with code 2`() {
        val faulty = SOUND.replace("\"services\":[{\"name\":\"desk\"}]", "\"services\":[]")
        assertEquals(1, codeOf { check(file("faulty", faulty)) })
        assertEquals(1, codeOf { check(file("broken", SOUND.dropLast(1))) })
        assertEquals(2, codeOf { check(directory.resolve("none").path) })
        assertTrue("error: route order, pool: desk is not in the table" in printed.first(), printed.first())
    }

    @Test
    fun `the result can be printed as JSON`() {
        check(file("new", SOUND), "--json")

        assertTrue("\"findings\": []" in printed.single(), printed.single())
    }

    private fun check(vararg arguments: String) {
        val command = CheckConfigurationCommand()
        val parser = ArgParser("corneltrackctl")
        parser.subcommands(ConfigurationCommand(command))
        parser.parse(arrayOf("configuration", "check") + arguments)
        assertTrue(command.selected, "the command is selected")
        command.run(OutputFormat.TEXT) { printed += it }
    }

    private fun codeOf(action: () -> Unit): Int = assertFailsWith<CommandException> { action() }.exitCode.code

    private fun file(name: String, text: String): String = directory.resolve(name).also { it.writeText(text) }.path
}
