package corneltrack.policy.placement

/**
 * Averages the samples of a speed, in ms.
 *
 * @property value the average.
 * @property samples the samples that it stands for, by which it is weighed against what others have learnt.
 */
public class LearntSpeed(value: Double, samples: Int) {
    public var value: Double = value
        private set
    public var samples: Int = samples
        private set

    /** Records a sample with a weight of [weight]; the average stands for no more than [maximumSamples]. */
    internal fun onSample(sample: Double, weight: Double, maximumSamples: Int) {
        value += weight * (sample - value)
        samples = minOf(maximumSamples, samples + 1)
    }

    /** Returns the weight of the next sample: [smoothing], or more if there are few; the first replaces the start. */
    internal fun nextWeight(smoothing: Double): Double = maxOf(smoothing, 1.0 / (samples + 1))
}
