package corneltrack.control

import corneltrack.platform.ConfigurationReport
import corneltrack.world.routing.FindingSeverity
import corneltrack.world.routing.TableChange
import corneltrack.world.routing.TableFinding
import kotlinx.cli.ArgParser
import java.io.File
import kotlin.io.path.createTempDirectory
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

private val UNREACHABLE = TableFinding(FindingSeverity.ERROR, "route copy", "never matches")
private val UNUSED = TableFinding(FindingSeverity.WARNING, "pool desk", "no route leads to it")

class CheckConfigurationTest {
    private val directory: File = createTempDirectory("check").toFile()
    private val printed = ArrayList<String>()

    /** Finds an error in a file that says "faulty", and reports what is compared. */
    private val check = { proposed: ByteArray, current: ByteArray? ->
        val finding = if (String(proposed) == "faulty") UNREACHABLE else UNUSED
        ConfigurationReport(
            findings = listOf(finding).filter { proposed.isNotEmpty() },
            changes = listOfNotNull(current?.let { TableChange("limits", "${String(it)} -> ${String(proposed)}") }),
        )
    }

    @AfterTest
    fun remove() {
        directory.deleteRecursively()
    }

    @Test
    fun `a configuration without findings passes`() {
        run(file("new", ""))

        assertEquals(listOf("nothing found"), printed)
    }

    @Test
    fun `warnings and differences from the configuration in force are shown and pass`() {
        run(file("new", "after"), "--against", file("old", "before"))

        assertEquals(
            listOf("warning: pool desk: no route leads to it\nchange: limits: before -> after"),
            printed,
        )
    }

    @Test
    fun `errors end the command with code 1 and an unreadable file with code 2`() {
        assertEquals(1, codeOf { run(file("new", "faulty")) })
        assertEquals(2, codeOf { run(directory.resolve("none").path) })
        assertEquals(listOf("error: route copy: never matches"), printed)
    }

    @Test
    fun `the result can be printed as JSON`() {
        run(file("new", "x"), "--json")

        assertTrue("\"place\": \"pool desk\"" in printed.single(), printed.single())
    }

    private fun run(vararg arguments: String) {
        val command = CheckConfigurationCommand(check)
        val parser = ArgParser("corneltrackctl")
        parser.subcommands(ConfigurationCommand(command))
        parser.parse(arrayOf("configuration", "check") + arguments)
        assertTrue(command.selected, "the command is selected")
        command.run(OutputFormat.TEXT) { printed += it }
    }

    private fun codeOf(action: () -> Unit): Int = assertFailsWith<CommandException> { action() }.exitCode.code

    private fun file(name: String, text: String): String = directory.resolve(name).also { it.writeText(text) }.path
}
