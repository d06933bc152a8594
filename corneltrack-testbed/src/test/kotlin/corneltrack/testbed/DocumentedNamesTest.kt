package corneltrack.testbed

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class DocumentedNamesTest {
    private val root = File(System.getProperty("corneltrack.root"))
    private val page = File(root, "docs/operators/metrics-and-logs.md").readText()
    private val sources = listOf("corneltrack-router", "corneltrack-wire", "platform")
        .flatMap { File(root, "$it/src/main").walkTopDown().filter { file -> file.extension == "kt" } }
        .joinToString("\n") { it.readText() }

    @Test
    fun `the documented metrics are those of the code`() {
        val counters = Regex("Counter.builder\\(\\).name\\(\"(\\w+)\"").names(sources).map { "${it}_total" }
        val others = Regex("(?:Gauge|Histogram).builder\\(\\).name\\(\"(\\w+)\"").names(sources)
        assertEquals((counters + others).toSortedSet(), Regex("`(corneltrack_\\w+)`").names(page).toSortedSet())
    }

    @Test
    fun `the documented log events are those of the code`() {
        val conditional = Regex("\\.event\\(if \\([^\"]*\\) \"(\\w+)\" else \"(\\w+)\"").findAll(sources)
        val events = Regex("\\.event\\(\\s*\"(\\w+)\"").names(sources) + conditional.flatMap { it.groupValues.drop(1) }
        val table = page.substringAfter("| event | when |")
        val documented = table.lines().filter { it.startsWith("| `") }
            .flatMap { Regex("`(\\w+)`").names(it.substringBefore(" | ")) }
        assertEquals(events.toSortedSet(), documented.toSortedSet())
    }

    private fun Regex.names(text: String): List<String> = findAll(text).map { it.groupValues[1] }.toList()
}
