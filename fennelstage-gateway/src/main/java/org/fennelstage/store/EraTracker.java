package org.fennelstage.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.fennelstage.history.Position;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/**
 * The newest era of the store that this VM has seen, whichever call brought it.
 *
 * <p>Each follower learns of a new era from its own answers, and the watch on workers may wait for
 * ten seconds: until then a worker that left would get requests. So the first answer of a new era
 * tells all.
 *
 * <p>Law: the era never falls, and each listener hears of each rise once, in the order of the
 * listeners. Confined to one event loop.
 */
public final class EraTracker {

    private final List<Runnable> listeners = new ArrayList<>();
    private Position newest = Position.NONE;
    private long rises;

    private EraTracker() {}

    /**
     * Returns a tracker that knows no era yet.
     *
     * @return the tracker
     */
    public static EraTracker empty() {
        return new EraTracker();
    }

    /**
     * Adds what runs when the store has come back from an older copy.
     *
     * @param listener runs after the new era is known here
     */
    public void onNewEra(final Runnable listener) {
        listeners.add(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * Notes where in the store's history an answer was given.
     *
     * @param position the position
     * @param kind what was asked for, for the log
     * @return false if the answer is of an era that has ended and says nothing of the present one
     */
    public boolean offer(final Position position, final StoreKind<?> kind) {
        if (position.isOfFormerEra(newest)) {
            return false;
        }
        final Position before = newest;
        final boolean rises = !before.equals(Position.NONE) && before.isOfFormerEra(position);
        if (before.compareTo(position) < 0) {
            newest = position;
        }
        if (rises) {
            onRisen(before, kind);
        }
        return true;
    }

    /**
     * Tells whether something was said in an era that has ended.
     *
     * @param position where it was said
     * @return true if a later era is known
     */
    public boolean isOfFormerEra(final Position position) {
        return position.isOfFormerEra(newest);
    }

    /**
     * Returns the newest era.
     *
     * @return the era, -1 before the first answer
     */
    public long era() {
        return newest.era();
    }

    /**
     * Returns how often the store was seen to come back from a copy.
     *
     * @return the count since this VM's start
     */
    public long restoreCount() {
        return rises;
    }

    private void onRisen(final Position before, final StoreKind<?> kind) {
        rises++;
        EventLog.write(
                Event.STORE_REPLACED, "kind", kind, "had", before, "got", newest, "rises", rises);
        listeners.forEach(Runnable::run);
    }

    @Override
    public String toString() {
        return "EraTracker[" + newest + "]";
    }
}
