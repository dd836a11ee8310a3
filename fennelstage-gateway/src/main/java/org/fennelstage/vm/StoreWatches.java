package org.fennelstage.vm;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fennelstage.store.EraTracker;
import org.fennelstage.store.Follower;
import org.fennelstage.store.Store;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.WatchPace;

/**
 * Creates the followers of a VM and defines the pace of their store calls. Not thread-safe;
 * confined to the event loop.
 */
final class StoreWatches {

    /**
     * Pace of the watch on the configuration. Its short wait detects an unresponsive store and
     * applies the removal of keys within seconds.
     */
    static final WatchPace CONFIGURATION_PACE = WatchPace.ofMillis(2_500, 100);

    /** Time to list the configuration again after a watch that did not end. */
    private static final Duration LIST_RESERVE = Duration.ofMillis(300);

    /**
     * Returns the pace of the watch on the configuration of a deployment. A connection may fall
     * silent without a reset; the watch on it is found to hang only after its wait and the timeout
     * of a call, so the wait is shorter than the time in which changes have to be applied.
     *
     * @param maxPropagationDelay the longest time until a VM applies a change
     * @return the pace
     */
    static WatchPace configurationPace(final Duration maxPropagationDelay) {
        final Duration wait = maxPropagationDelay.minus(LIST_RESERVE);
        return wait.compareTo(CONFIGURATION_PACE.watchTime()) < 0
                ? WatchPace.ofMillis(wait.toMillis(), CONFIGURATION_PACE.pause().toMillis())
                : CONFIGURATION_PACE;
    }

    /**
     * Pace of the watch on backend servers. A draining server may receive requests for two seconds.
     */
    static final WatchPace SERVER_PACE = WatchPace.ofMillis(10_000, 250);

    /**
     * Pace of the watch on backend servers while this VM has just started. Each VM calls the store
     * directly then, and servers register one after the other: the usual pause would cause a call
     * for nearly each registration. A draining server is still reported within a second.
     */
    static final WatchPace STARTING_SERVER_PACE = WatchPace.ofMillis(10_000, 1_000);

    /** Pace of the watch on rollouts: a halt is urgent, and rare. */
    static final WatchPace ROLLOUT_PACE = WatchPace.ofMillis(10_000, 0);

    /** Pace of the watch on evacuations, which are urgent, and rare. */
    static final WatchPace EVACUATION_PACE = WatchPace.ofMillis(10_000, 0);

    /**
     * Pace of the watch on the quarantine. VMs report crashes to each other directly; the store
     * serves those that missed a message or start later. The short maximum backoff detects the end
     * of an outage soon.
     */
    static final WatchPace QUARANTINE_PACE =
            WatchPace.ofMillis(30_000, 0).withMaxBackoff(Duration.ofSeconds(4));

    /** Pace of the watch on the quarantine until its first list, which readiness requires. */
    static final WatchPace FIRST_QUARANTINE_PACE = WatchPace.ofMillis(30_000, 0);

    /**
     * Pause of a starting VM between its list and its first watch of kinds that change rarely: by
     * then its data centre coalesces calls, and the watch joins one that is open. Changes in
     * between arrive with that watch; a new version of a backend server triggers a list at once.
     */
    static final Duration STARTING_LIST_PAUSE = Duration.ofMillis(3_300);

    private final EventLoop loop;
    private final Store store;
    private final RandomGenerator random;
    private final EraTracker eras;

    StoreWatches(
            final EventLoop loop,
            final Store store,
            final RandomGenerator random,
            final EraTracker eras) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.eras = Objects.requireNonNull(eras, "eras is null");
    }

    /** Returns a follower of a kind; it makes no call before its start. */
    <T> Follower<T> of(
            final StoreKind<T> kind,
            final Supplier<WatchPace> pace,
            final Follower.Listener<T> listener) {
        return new Follower<>(loop, store, kind, pace, random, eras, listener);
    }
}
