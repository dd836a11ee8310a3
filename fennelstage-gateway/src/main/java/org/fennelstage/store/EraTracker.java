package org.fennelstage.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.fennelstage.history.Position;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/**
 * Tracks the newest era of the store that any call of this VM has returned.
 *
 * <p>The first result of a new era notifies all followers at once. A follower that learned of the
 * new era only from its own watch would use outdated state until that watch ends.
 *
 * <p>Invariant: the era never decreases, and each listener is called once per new era, in order of
 * registration. Not thread-safe; confined to one event loop.
 */
public final class EraTracker {

    private final List<Runnable> listeners = new ArrayList<>();
    private Position newest = Position.NONE;
    private long restoreCount;

    private EraTracker() {}

    /**
     * Returns a tracker without a known era.
     *
     * @return the tracker
     */
    public static EraTracker empty() {
        return new EraTracker();
    }

    /**
     * Adds a listener that runs when the store was restored from an older copy.
     *
     * @param listener runs after {@link #era} returns the new era
     */
    public void onNewEra(final Runnable listener) {
        listeners.add(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * Records the position of a result of the store.
     *
     * @param position the position
     * @param kind the kind that was read, for the log
     * @return false if the result is of a former era and has to be discarded
     */
    public boolean offer(final Position position, final StoreKind<?> kind) {
        if (position.isOfFormerEra(newest)) {
            return false;
        }
        final Position before = newest;
        final boolean newEra = !before.equals(Position.NONE) && before.isOfFormerEra(position);
        if (before.compareTo(position) < 0) {
            newest = position;
        }
        if (newEra) {
            notifyListeners(before, kind);
        }
        return true;
    }

    /**
     * Returns whether a position is of a former era.
     *
     * @param position the position
     * @return true if a newer era is known
     */
    public boolean isOfFormerEra(final Position position) {
        return position.isOfFormerEra(newest);
    }

    /**
     * Returns the newest era.
     *
     * @return the era, -1 before the first result
     */
    public long era() {
        return newest.era();
    }

    /**
     * Returns how often this VM observed that the store was restored from an older copy.
     *
     * @return the count since this VM's start
     */
    public long restoreCount() {
        return restoreCount;
    }

    private void notifyListeners(final Position before, final StoreKind<?> kind) {
        restoreCount++;
        EventLog.write(
                Event.STORE_RESTORED,
                "kind",
                kind,
                "had",
                before,
                "got",
                newest,
                "rises",
                restoreCount);
        listeners.forEach(Runnable::run);
    }

    @Override
    public String toString() {
        return "EraTracker[" + newest + "]";
    }
}
