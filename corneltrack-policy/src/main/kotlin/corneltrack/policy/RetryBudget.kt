package corneltrack.policy

private const val DEFAULT_FRACTION = 0.1
private const val DEFAULT_RESERVE = 10.0

/**
 * Bounds retries to a fraction of the traffic, so that a failing fleet is not flooded by repeats. Thread-safe.
 *
 * @param fraction the retries earned by each first attempt.
 * @param reserve the most retries that can be saved up.
 */
public class RetryBudget(
    private val fraction: Double = DEFAULT_FRACTION,
    private val reserve: Double = DEFAULT_RESERVE,
) {
    private var balance = reserve

    /** Counts a first attempt. */
    @Synchronized
    public fun onAttempt() {
        balance = minOf(reserve, balance + fraction)
    }

    /** Takes one retry from the budget. Returns false where it is used up. */
    @Synchronized
    public fun tryRetry(): Boolean {
        if (balance < 1) {
            return false
        }
        balance -= 1
        return true
    }
}
