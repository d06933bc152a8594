package corneltrack.router.callers

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val KIB = 1_024L

/** Guards against callers that together hold more than the process has, each within its limits. */
class CallerMemoryTest {
    private class Holder(val name: String, override var slow: Boolean = false, private val log: MutableList<String>) :
        MemoryHolder {
        override fun giveWay(kind: HeldKind) {
            log += "$name $kind"
        }
    }

    private val log = ArrayList<String>()
    private var bodyBytes = 0L
    private val bounds =
        CallerMemoryBounds(headBytes = 1_000 * KIB, totalHeapBytes = 3_000 * KIB, waitingBytes = 1_000 * KIB)
    private val memory = CallerMemory(bounds) { bodyBytes }

    @Test
    fun `the connection whose head costs most gives way and not the newest`() {
        part("small").hold(HeldKind.HEADS, 20 * KIB)
        part("large").hold(HeldKind.HEADS, 600 * KIB)
        part("middle").hold(HeldKind.HEADS, 300 * KIB)

        part("newest").hold(HeldKind.HEADS, 100 * KIB)

        assertEquals(listOf("large HEADS"), log)
        assertEquals(420 * KIB, memory.heldBytes(HeldKind.HEADS))
    }

    @Test
    fun `a head is admitted alone whatever it costs`() {
        part("ordinary").hold(HeldKind.HEADS, 4 * KIB)
        part("alone").hold(HeldKind.HEADS, 2_000 * KIB)

        assertEquals(emptyList(), log)
    }

    @Test
    fun `callers that hold what is ordinary never give way`() {
        repeat(300) { part("ordinary").hold(HeldKind.HEADS, 4 * KIB) }

        assertEquals(emptyList(), log)
    }

    @Test
    fun `large heads give way to bodies but keep a reserve`() {
        part("large").hold(HeldKind.HEADS, 500 * KIB)
        part("small").hold(HeldKind.HEADS, 200 * KIB)
        bodyBytes = 2_900 * KIB

        memory.onBodiesGrown()

        assertEquals(listOf("large HEADS"), log)
    }

    @Test
    fun `requests in progress never give way but take room from heads that are read`() {
        part("running").hold(HeldKind.IN_PROGRESS, 900 * KIB)
        part("other").hold(HeldKind.IN_PROGRESS, 90 * KIB)

        part("arriving").hold(HeldKind.HEADS, 30 * KIB)
        bodyBytes = 3_000 * KIB
        memory.onBodiesGrown()

        assertEquals(listOf("arriving HEADS"), log)
        assertEquals(990 * KIB, memory.heldBytes(HeldKind.IN_PROGRESS))
    }

    @Test
    fun `slow readers give way before fast ones that hold more`() {
        part("fast").hold(HeldKind.WAITING, 600 * KIB)
        part("slow", slow = true).hold(HeldKind.WAITING, 300 * KIB)
        part("slower", slow = true).hold(HeldKind.WAITING, 200 * KIB)

        assertEquals(listOf("slow WAITING"), log)
    }

    @Test
    fun `far beyond the bound even a reader that is not slow gives way`() {
        part("first").hold(HeldKind.WAITING, 900 * KIB)
        part("second").hold(HeldKind.WAITING, 500 * KIB)
        assertEquals(emptyList(), log)

        part("third").hold(HeldKind.WAITING, 200 * KIB)

        assertEquals(listOf("first WAITING"), log)
    }

    @Test
    fun `less may wait for each caller while memory is short`() {
        assertTrue(memory.mayWait(1_000 * KIB))
        val part = part("large")
        part.hold(HeldKind.WAITING, 600 * KIB)
        assertTrue(memory.short)
        assertFalse(memory.mayWait(32 * KIB))
        assertTrue(memory.mayWait(31 * KIB))

        part.release()

        assertTrue(memory.mayWait(1_000 * KIB))
        assertEquals(0, memory.heldBytes(HeldKind.WAITING))
    }

    @Test
    fun `a connection that has given way is accounted no more`() {
        val part = part("closed")
        part.hold(HeldKind.HEADS, 10 * KIB)
        part.release()
        part.hold(HeldKind.HEADS, 20 * KIB)

        assertEquals(0, memory.heldBytes(HeldKind.HEADS))
    }

    private fun part(name: String, slow: Boolean = false) = memory.newPart(Holder(name, slow, log))
}
