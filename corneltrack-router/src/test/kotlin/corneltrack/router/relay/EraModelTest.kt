package corneltrack.router.relay

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val SHARING_ROUTERS = 12
private const val READING_ROUTERS = 6
private const val STEPS = 40
private const val CHECK_MS = 50L

/** The failed plays whose traces are stated. */
private const val STATED_PLAYS = 4

/** The simulated time after the last disturbance within which all routers agree with the store. */
private const val AGREED_WITHIN_MS = 6_000L

/** The seeds that CI runs; by hand more with -Dcorneltrack.eraSeeds=1-1000. */
private const val SEEDS = "1-10"

/**
 * Seeds that failed once, as content went back or routers never agreed.
 *
 * 73, 88, 99: a router that knew a removal from an older era sent what it reloaded, without the removal written again.
 * 800, 947: the same among routers that share no records: the watermark after the reload announced nothing.
 * 249, 521, 657: a load after the time for writing again held a newer record back for ever.
 */
private const val FAILED_SEEDS = "73,88,99,800,947,249,521,657"

/** Plays regions whose store comes back from older copies. What fails states its seed and what happened. */
class EraModelTest {
    @Test
    fun `content never goes back and all routers agree in the end`() =
        checkSeeds { it.setBack() }

    @Test
    fun `no router takes for current what was replaced long before`() =
        checkSeeds { it.outdated() }

    @Test
    fun `a rise costs each router one load of each topic`() = bothSizes { play ->
        play.prepare()
        play.region.calls.clear()
        play.rise(outageMs = 300)
        play.settle()
        assertEquals(emptyList(), play.setBack() + play.outdated())
        play.region.routers.forEach { router ->
            assertEquals(mapOf("operator" to 1, "endpoints" to 1, "peers" to 1), router.eraLoads.toMap(), router.id)
        }
        assertEquals(emptyMap(), play.region.calls.filterKeys { it.cause == "RELOAD" }, "other loads")
    }

    @Test
    fun `two rises within a second`() = bothSizes { play ->
        play.prepare()
        play.rise(outageMs = 0)
        play.advance(play.random.nextLong(1, 90) * 10)
        play.rise(outageMs = 0)
        play.settle()
        assertEquals(emptyList(), play.setBack() + play.outdated())
    }

    @Test
    fun `a rise during a full load`() = (1..12).forEach { step ->
        bothSizes { play ->
            play.prepare()
            play.region.restart(1)
            play.advance(step * 20L)
            play.rise(outageMs = 0)
            play.settle()
            assertEquals(emptyList(), play.setBack() + play.outdated())
        }
    }

    @Test
    fun `a rise just after all routers were restarted`() = (0..10).forEach { step ->
        bothSizes { play ->
            play.prepare()
            play.region.routers.indices.forEach(play.region::restart)
            play.advance(step * 100L)
            play.rise(outageMs = 0)
            play.settle()
            assertEquals(emptyList(), play.setBack() + play.outdated())
        }
    }

    private fun checkSeeds(faults: (EraPlay) -> List<String>) {
        val plays = seeds().flatMap { seed -> listOf(SHARING_ROUTERS, READING_ROUTERS).map { EraPlay(seed, it) } }
        val failed = plays.onEach { it.runAtRandom() }.filter { faults(it).isNotEmpty() }
        val stated = failed.take(STATED_PLAYS).joinToString("\n\n") { it.describe(faults(it)) }
        val names = failed.joinToString { it.name }
        assertTrue(failed.isEmpty(), "${failed.size} of ${plays.size} plays failed: $names\n$stated")
    }

    private fun bothSizes(check: (EraPlay) -> Unit) =
        listOf(SHARING_ROUTERS, READING_ROUTERS).forEach { check(EraPlay(seed = 1, routers = it)) }

    private fun seeds() = System.getProperty(
        "corneltrack.eraSeeds",
        "$SEEDS,$FAILED_SEEDS"
    ).split(',').flatMap { part ->
        (part.substringBefore('-').toInt()..part.substringAfter('-').toInt()).toList()
    }
}

/** A region of [routers], its store and those who write to it. */
private class EraPlay(seed: Int, private val routers: Int) {
    val name = "seed $seed, $routers routers"
    val random = Random(seed)
    private val answers = StoreAnswers(
        pageSize = if (random.nextBoolean()) 8 else Int.MAX_VALUE,
        answerDelayMs = if (random.nextBoolean()) ({ random.nextLong(0, 30) * 10 }) else ({ 0 }),
        asksAtOnce = random.nextBoolean(),
    )
    private val network = if (random.nextBoolean()) UNRELIABLE else Network()
    val region = RegionSimulation(routers, shares = true, network, seed = seed, answers = answers)
    private val logs = listOf(region.operatorLog, region.endpointLog)
    private val writers = logs.map { LostWriter(it, random) }
    private val trace = ArrayList<String>()

    /** What routers took for current, with when that was first and last and by what it was first. */
    private val found = LinkedHashMap<String, Pair<LongRange, String>>()
    private var states = 0
    private var rises = 0

    init {
        region.takeCopy()
        region.onStep = {
            writers.forEach { it.advance(region.nowMs) }
            if (region.nowMs % CHECK_MS == 0L) region.outdated().forEach { found(it) }
        }
    }

    private fun found(outdated: Outdated) {
        val known = found[outdated.what]
        val span = (known?.first?.first ?: region.nowMs)..region.nowMs
        found[outdated.what] = span to (known?.second ?: outdated.proof)
    }

    fun advance(spanMs: Long) = region.advance(spanMs / 10 * 10)

    /** Writes something, takes a copy, and writes what the copy lacks. */
    fun prepare() {
        repeat(4) { change() }
        advance(3_000)
        region.takeCopy()
        repeat(4) { change() }
        advance(3_000)
    }

    /** Has the store come back from its copy after an outage. */
    fun rise(outageMs: Long) {
        if (outageMs > 0) {
            region.setUnavailable(true)
            advance(outageMs)
        }
        region.restore(dropsPolls = random.nextBoolean())
        region.setUnavailable(false)
        rises++
        writers.forEach { it.onReturn(region.nowMs) }
        note("rise after $outageMs, lost ${logs.map { log -> log.losses.filterValues { it.writtenMs == null }.keys }}")
    }

    /** Ends all disturbances and waits until all routers must agree with the store. */
    fun settle() {
        region.routers.forEach { it.access = StoreAccess.SERVED }
        note("settle")
        advance(WRITTEN_AGAIN_MS)
        check(writers.all { it.isDone }) { "not all was written again" }
        advance(AGREED_WITHIN_MS)
    }

    /** What went back, what routers do not know in the end, and which topics they loaded too often. */
    fun setBack(): List<String> {
        val loads = region.routers.flatMap { router ->
            router.eraLoads.filterValues { it > rises }.map { "${router.id} loaded ${it.key} ${it.value} times" }
        }
        return region.setBacks + region.differences().map { "at last $it" } + loads
    }

    /** What routers took for current. */
    fun outdated(): List<String> = found.map { (what, times) ->
        "$what, from ${times.first.first} to ${times.first.last}: ${times.second}"
    }

    fun runAtRandom() {
        repeat(STEPS) {
            disturb()
            advance(random.nextLong(1, 120) * 10)
        }
        settle()
    }

    fun describe(faults: List<String>) =
        "$name:\n" + faults.take(MAXIMUM_FAULTS).joinToString("\n") + "\ntrace:\n" + trace.joinToString("\n")

    private fun disturb() {
        val index = random.nextInt(routers)
        val router = region.routers[index]
        when (val kind = random.nextInt(24)) {
            in 0..8 -> change()
            9 -> logs.random(random).expire()
            10 -> restart(index)
            11 -> router.access = StoreAccess.REFUSED.also { note("cut ${router.id}") }
            12 -> router.access = StoreAccess.SUSPENDED.also { note("pause ${router.id}") }
            in 13..15 -> region.routers.forEach { it.access = StoreAccess.SERVED }.also { note("serve all") }
            in 16..18 -> region.takeCopy().also { note("copy") }
            else -> comeBack(kind, index)
        }
    }

    private fun comeBack(kind: Int, index: Int) = when (kind) {
        19, 20 -> rise(random.nextLong(0, 100) * 10)
        21 -> {
            rise(0)
            advance(random.nextLong(1, 100) * 10)
            rise(random.nextLong(0, 20) * 10)
        }
        22 -> {
            region.routers.indices.forEach(region::restart)
            note("restart all")
            advance(random.nextLong(0, 100) * 10)
            rise(0)
        }
        else -> {
            restart(index)
            advance(random.nextLong(1, 15) * 10)
            rise(0)
        }
    }

    private fun restart(index: Int) {
        region.restart(index)
        note("restart ${region.routers[index].id}")
    }

    private fun change() {
        val onOperator = random.nextBoolean()
        val key = if (onOperator) "key-${random.nextInt(4)}" else "endpoint-${random.nextInt(5)}"
        val log = if (onOperator) region.operatorLog else region.endpointLog
        val known = log.history[key]?.last()?.state != null
        val state = if (known && random.nextInt(3) == 0) null else "v${states++}"
        log.put(key, state)
        note("$key is $state")
    }

    private fun note(what: String) {
        trace += "${region.nowMs} $what"
    }

    private companion object {
        const val MAXIMUM_FAULTS = 12
        const val WRITTEN_AGAIN_MS = 1_500L
    }
}
