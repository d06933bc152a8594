package corneltrack.policy

private const val DEFAULT_FRACTION = 0.1
private const val DEFAULT_RESERVE = 10.0

/**
 * Limits retries to a fraction of the requests, so that retries do not overload endpoints that fail. Thread-safe.
 *
 * @param fraction the number of retries that each first attempt adds to the budget.
 * @param reserve the initial and maximum balance of the budget, in retries.
 */
public class RetryBudget(
    private val fraction: Double = DEFAULT_FRACTION,
    private val reserve: Double = DEFAULT_RESERVE,
) {
    private var balance = reserve

    /** Adds to the budget for the first attempt of a request. */
    @Synchronized
    public fun onAttempt() {
        balance = minOf(reserve, balance + fraction)
    }

    /** Takes one retry from the budget. Returns false if the budget is exhausted. */
    @Synchronized
    public fun tryRetry(): Boolean {
        if (balance < 1) {
            return false
        }
        balance -= 1
        return true
    }
}
