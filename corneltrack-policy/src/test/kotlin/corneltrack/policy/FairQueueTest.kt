package corneltrack.policy

import corneltrack.world.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals

class FairQueueTest {
    private data class Item(override val workspace: WorkspaceId, val name: String, val fits: Boolean) : QueuedRequest {
        override val arrivedMs = 0L
        override val deadlineMs = 0L
    }

    private val workspace = WorkspaceId("w")
    private val queue = FairQueue<Item>()

    /** A request that fits few endpoints must not block those behind it. */
    @Test
    fun `peekThrough includes the first match behind requests that do not match`() {
        listOf("a" to false, "b" to false, "c" to true, "d" to true)
            .forEach { (name, fits) -> queue.offer(Item(workspace, name, fits), LIMIT) }
        assertEquals(listOf("a", "b", "c"), queue.peekThrough(workspace) { it.fits }.map { it.name })
    }

    @Test
    fun `peekThrough returns the whole queue if nothing matches`() {
        queue.offer(Item(workspace, "a", fits = false), LIMIT)
        assertEquals(listOf("a"), queue.peekThrough(workspace) { it.fits }.map { it.name })
        assertEquals(emptyList(), queue.peekThrough(WorkspaceId("other")) { it.fits })
    }

    private companion object {
        const val LIMIT = 10
    }
}
