package org.fennelstage.vm;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;
import org.fennelstage.time.MonotonicClock;

/**
 * Lets one VM after the other do what all of them find due at the same time: each write to the
 * store is paid for, and all but one would be in vain.
 *
 * <p>Law: the first VM in turn may act at once; each further one only {@link #TURN_MILLIS} later,
 * by when it has the news if one before it acted. Confined to the event loop.
 *
 * @param <T> names a task
 */
final class Turns<T> {

    /** A write and the news of it take some ten milliseconds. */
    private static final long TURN_MILLIS = 100;

    private final ToIntFunction<String> turnAt;
    private final int mostTurns;
    private final MonotonicClock clock;
    private final Map<T, Long> dueSinceMillis = new HashMap<>();

    /**
     * Creates turns with no task due.
     *
     * @param turnAt gives the number of VMs before this one at a task
     * @param mostTurns turns waited for at most
     * @param clock the clock
     */
    Turns(final ToIntFunction<String> turnAt, final int mostTurns, final MonotonicClock clock) {
        this.mostTurns = mostTurns;
        this.turnAt = Objects.requireNonNull(turnAt, "turnAt is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * Tells whether this VM may do a task now.
     *
     * @param task the task, due since the first question
     * @param name the name by which all VMs rank themselves for it
     */
    boolean isOwn(final T task, final String name) {
        final long since = dueSinceMillis.computeIfAbsent(task, t -> clock.millis());
        final int turns = Math.min(mostTurns, turnAt.applyAsInt(name));
        return clock.millis() - since >= turns * TURN_MILLIS;
    }

    /** Notes that a task is not due any more. */
    void forget(final T task) {
        dueSinceMillis.remove(task);
    }
}
