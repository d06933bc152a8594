package corneltrack.policy.placement

/** The lag up to which reports fall into the first class, in ms; each further class covers twice the lag. */
private const val FIRST_LAG_MS = 25L
private const val LAG_CLASSES = 7

/** The age above which a report says nothing, in ms. */
public const val MAXIMUM_REPORT_AGE_MS: Long = 1_000

/**
 * What the evidence of a lag is divided by in addition, in pairs of the average square: a few pairs that agree by
 * chance do not give a report weight.
 */
private const val PRIOR_PAIRS = 10.0

/** The factor by which earlier pairs count less with each further one; about 2,000 pairs are remembered. */
private const val PAIR_RETENTION = 0.9995

/**
 * Learns what a report still says about the present after some time: the autocorrelation of a reported figure by lag.
 *
 * Shared by the endpoints of a pool, since one endpoint alone yields few pairs. Not thread-safe.
 */
public class ReportCorrelation {
    private val products = DoubleArray(LAG_CLASSES)
    private val squares = DoubleArray(LAG_CLASSES)
    private val pairs = DoubleArray(LAG_CLASSES)

    /** Records two reports of one endpoint, as deviations from its mean, of which the later came [lagMs] after. */
    internal fun onPair(earlier: Double, later: Double, lagMs: Long) {
        val lagClass = lagClass(lagMs)
        if (lagMs <= 0 || lagClass >= LAG_CLASSES) return
        products[lagClass] = products[lagClass] * PAIR_RETENTION + earlier * later
        squares[lagClass] = squares[lagClass] * PAIR_RETENTION + (earlier * earlier + later * later) / 2
        pairs[lagClass] = pairs[lagClass] * PAIR_RETENTION + 1
    }

    /**
     * Returns the part, 0 to 1, of a report's deviation from the mean that is left when it is [ageMs] old. A report
     * that is younger than any pair tells is worth what an older one is.
     */
    public fun worth(ageMs: Long): Double =
        if (ageMs > MAXIMUM_REPORT_AGE_MS) 0.0 else (lagClass(ageMs) until LAG_CLASSES).maxOfOrNull(::worthOf) ?: 0.0

    private fun worthOf(lagClass: Int): Double {
        if (squares[lagClass] <= 0) return 0.0
        val prior = PRIOR_PAIRS * squares[lagClass] / pairs[lagClass]
        return (products[lagClass] / (squares[lagClass] + prior)).coerceIn(0.0, 1.0)
    }

    private fun lagClass(lagMs: Long): Int {
        var lagClass = 0
        while (lagClass < LAG_CLASSES && lagMs > FIRST_LAG_MS shl lagClass) lagClass++
        return lagClass
    }
}
