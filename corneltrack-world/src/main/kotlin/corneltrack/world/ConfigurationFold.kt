package corneltrack.world

/** An entry of the configuration stream at its offset. */
public data class StreamEntry(val offset: Long, val entry: ConfigurationEntry)

/** Tells what a fold over a part of the stream came to. */
public sealed interface FoldResult {
    /** The state after the last entry. */
    public data class Folded(val configuration: Configuration) : FoldResult

    /** Records between [appliedOffset] and [oldestOffset] have expired and no snapshot in reach covers them. */
    public data class Gap(val appliedOffset: Long, val oldestOffset: Long) : FoldResult
}

/**
 * Folds [entries], which are in order of offset, onto this state.
 *
 * Where records after this state have expired, the fold starts from the newest snapshot whose following records are
 * all still kept. Entries between the offset that a snapshot covers and its own offset are applied again, since they
 * were appended while the snapshot was under way.
 *
 * @param oldestOffset the lowest offset that the stream still keeps.
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
