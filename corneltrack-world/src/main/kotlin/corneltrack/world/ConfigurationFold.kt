package corneltrack.world

/** An entry of the configuration stream with its offset. */
public data class StreamEntry(val offset: Long, val entry: ConfigurationEntry)

/** The result of folding a part of the stream. */
public sealed interface FoldResult {
    /** The state after the last entry. */
    public data class Folded(val configuration: Configuration) : FoldResult

    /** Records between [appliedOffset] and [oldestOffset] have expired, and no entry is a snapshot that covers them. */
    public data class Gap(val appliedOffset: Long, val oldestOffset: Long) : FoldResult
}

/**
 * Folds [entries], which are in order of offset, onto this state.
 *
 * If records after this state have expired, the fold starts from the latest snapshot whose subsequent records are all
 * still retained. Entries between the offset that a snapshot covers and its own offset were appended while the snapshot
 * was being written, so they are applied to it.
 *
 * @param oldestOffset the lowest offset that the stream still retains.
 */
public fun Configuration.fold(entries: List<StreamEntry>, oldestOffset: Long): FoldResult {
    if (oldestOffset <= offset + 1) {
        return FoldResult.Folded(applyAll(entries))
    }
    val base = entries.mapNotNull { (it.entry as? SnapshotRecord)?.configuration }
        .filter { it.offset >= oldestOffset - 1 && it.offset > offset }
        .maxByOrNull { it.offset }
    return if (base == null) FoldResult.Gap(offset, oldestOffset) else FoldResult.Folded(base.applyAll(entries))
}

private fun Configuration.applyAll(entries: List<StreamEntry>): Configuration =
    entries.fold(this) { state, next -> state.apply(next.offset, next.entry) }
