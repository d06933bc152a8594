package corneltrack.testbed

import corneltrack.wire.wireJson
import corneltrack.world.Configuration
import corneltrack.world.Verdict
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class OperatorCommandTest {
    private class CommandResult(val code: Int, val output: String)

    private val fleet = smallFleet()

    @AfterTest
    fun stop() = fleet.close()

    @Test
    fun `taking a data centre out and bringing it back shows in status and audit`() {
        val out = run("take-out", "data-centre", "middle", "--why", "power work")
        assertEquals(0, out.code, out.output)
        assertTrue("in force on every listed router" in out.output, out.output)
        assertTrue("taken out: data-centre:middle" in run("status").output)

        val back = run("--output", "JSON", "bring-back", "data-centre", "middle", "--why", "power is back")
        assertEquals(0, back.code, back.output)
        val report = Json.parseToJsonElement(back.output).jsonObject
        assertEquals("in service", report.getValue("after").jsonPrimitive.content)

        val audit = run("audit", "--last", "2").output
        assertTrue("power work" in audit && "power is back" in audit && "who=tester" in audit, audit)
        assertEquals(false, FLEET_SECRET in audit + run("show").output + run("status").output)
    }

    @Test
    fun `invalid values are reported together and change nothing`() {
        val bad = run(
            "set-exception", "stranger", "--weight", "-1", "--cap", "3", "--waiting-limit", "5", "--reason", " ",
        )
        assertEquals(2, bad.code, bad.output)
        listOf("terms.weight", "terms.cap", "reason", "workspace").forEach { assertTrue(it in bad.output, bad.output) }
        assertTrue("SetException" !in run("audit").output)
    }

    @Test
    fun `a command that cannot reach the log changes nothing and reports it`() {
        fleet.log.down = true
        val result = run("take-out", "data-centre", "middle", "--why", "x")
        assertEquals(1, result.code, result.output)
        assertTrue("The log does not answer" in result.output, result.output)
    }

    @Test
    fun `a change whose response is lost is found in the log and made once`() {
        fleet.log.responsesToDrop.set(1)
        val result = run("take-out", "endpoint", "north-engine-1", "--why", "bad fan")
        assertEquals(0, result.code, result.output)
        val records = fleet.log.records("configuration").count { "north-engine-1" in it.data }
        assertEquals(1, records)
    }

    @Test
    fun `concurrent operators learn which change was accepted, and every router applies that one`() {
        val results = (1..OPERATORS).map { CompletableFuture.supplyAsync { setDefaultWeight(it) } }.map { it.join() }
        assertTrue(results.all { it.code == 0 || it.code == LOST_RACE }, results.joinToString("\n") { it.output })
        val winners = (1..OPERATORS).filter { results[it - 1].code == 0 }
        val states = fleet.routers.map { configuration(it) }
        val verdicts = states.map { state -> state.history.filter { it.record.why == "race" }.map { it.verdict } }
        val expected = mapOf(Verdict.ACCEPTED to winners.size, Verdict.LOST_RACE to OPERATORS - winners.size)
        verdicts.forEach { assertEquals(expected.filterValues { it > 0 }, it.groupingBy { it }.eachCount()) }
        assertEquals(1, states.map { it.agreement.default }.toSet().size)
        assertTrue(states.first().agreement.default.weight.toInt() in winners, "${states.first().agreement}, $winners")
    }

    private fun configuration(router: RouterProcess): Configuration =
        wireJson.decodeFromString(fleet.get(router, "/peer/configuration")!!)

    private fun setDefaultWeight(weight: Int): CommandResult =
        run("set-default", "--weight", "$weight", "--cap", "0.5", "--waiting-limit", "100", "--why", "race")

    private fun run(vararg arguments: String): CommandResult {
        val settings = Path.of(fleet.directory.toString(), "corneltrackctl.json")
        Files.writeString(
            settings,
            """{"log": "${fleet.log.address}", "instances": "${fleet.list.address}",
                "secret": "$FLEET_SECRET", "operator": "tester"}""",
        )
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val program = listOf(java, "-cp", System.getProperty("java.class.path"), "corneltrack.control.MainKt")
        val process = ProcessBuilder(program + listOf("--settings", "$settings") + arguments)
            .redirectErrorStream(true)
            .start()
        val output = process.inputStream.readAllBytes().decodeToString()
        return CommandResult(process.waitFor(), output)
    }

    private companion object {
        const val OPERATORS = 4
        const val LOST_RACE = 3
    }
}
