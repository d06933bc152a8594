package corneltrack.policy

import corneltrack.world.WorkspaceId

/** A request that waits for a slot. */
public interface QueuedRequest {
    /** The workspace that is charged for the request. */
    public val workspace: WorkspaceId

    /** When the request arrived, in ms of the router's clock. */
    public val arrivedMs: Long

    /** The latest time at which the request may start, in ms of the router's clock. */
    public val deadlineMs: Long
}

/**
 * Holds the waiting requests of one pool at one router, in order of arrival per workspace.
 *
 * Not thread-safe, except for [anyWaiting].
 */
public class FairQueue<T : QueuedRequest> {
    private val queues = HashMap<WorkspaceId, ArrayDeque<T>>()

    /** The number of waiting requests. */
    public val size: Int get() = queues.values.sumOf { it.size }

    /** Whether any request waits; may be read by any thread. */
    @Volatile
    public var anyWaiting: Boolean = false
        private set

    /** The workspaces with waiting requests. */
    public val workspaces: Set<WorkspaceId> get() = queues.keys

    /** Adds [item] unless its workspace already has [limit] waiting. Returns whether it was added. */
    public fun offer(item: T, limit: Int): Boolean {
        if (count(item.workspace) >= limit) {
            return false
        }
        queues.getOrPut(item.workspace) { ArrayDeque() }.addLast(item)
        anyWaiting = true
        return true
    }

    /** Adds [item] again, at the head of its workspace's queue. */
    public fun requeue(item: T) {
        queues.getOrPut(item.workspace) { ArrayDeque() }.addFirst(item)
        anyWaiting = true
    }

    /** Removes [item], for example because its caller disconnected. Returns whether it was waiting. */
    public fun remove(item: T): Boolean {
        val queue = queues[item.workspace] ?: return false
        return queue.remove(item).also { prune(item.workspace) }
    }

    /** Returns the oldest waiting request of [workspace], or null if there is none. */
    public fun peek(workspace: WorkspaceId): T? = queues[workspace]?.firstOrNull()

    /** Returns the waiting requests of [workspace] from the oldest through the first that matches [last]. */
    public fun peekThrough(workspace: WorkspaceId, last: (T) -> Boolean): List<T> {
        val queue = queues[workspace].orEmpty()
        val index = queue.indexOfFirst(last)
        return if (index < 0) queue.toList() else queue.take(index + 1)
    }

    /** Returns the number of waiting requests of [workspace]. */
    public fun count(workspace: WorkspaceId): Int = queues[workspace]?.size ?: 0

    /** Removes and returns the requests whose deadline has passed at [nowMs]. */
    public fun expire(nowMs: Long): List<T> = drain { it.deadlineMs <= nowMs }

    /** Removes and returns the requests that match [predicate]. */
    public fun drain(predicate: (T) -> Boolean): List<T> {
        val removed = queues.values.flatMap { queue -> queue.filter(predicate) }
        removed.forEach { remove(it) }
        return removed
    }

    private fun prune(workspace: WorkspaceId) {
        if (queues[workspace]?.isEmpty() == true) {
            queues.remove(workspace)
            anyWaiting = queues.isNotEmpty()
        }
    }
}
