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

    /** Records a sample with a weight of [smoothing] at least; the first sample replaces the start value. */
    internal fun onSample(sample: Double, smoothing: Double, maximumSamples: Int) {
        value += maxOf(smoothing, 1.0 / (samples + 1)) * (sample - value)
        samples = minOf(maximumSamples, samples + 1)
    }
}

/** Returns the mean of [speeds], weighed by their samples, or null if there are no samples. */
internal fun mergedSpeed(speeds: Collection<LearntSpeed>): Double? {
    val samples = speeds.sumOf { it.samples }
    return if (samples == 0) null else speeds.sumOf { it.value * it.samples } / samples
}
