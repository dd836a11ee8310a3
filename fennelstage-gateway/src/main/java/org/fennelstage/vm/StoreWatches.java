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
 * What a VM follows in the store, and how often it calls for it. Confined to the event loop.
 *
 * <p>Each call is paid for, also those that wait; each pace says what its kind needs.
 */
final class StoreWatches {

    /**
     * Pace of the watch on the configuration. It is the one that notices a store that keeps silent,
     * and keys that were taken away must be refused a few seconds later.
     */
    static final WatchPace CONFIGURATION_PACE = WatchPace.ofMillis(2_500, 100);

    /** Pace of the watch on workers: those that leave may get requests for two seconds or more. */
    static final WatchPace SERVER_PACE = WatchPace.ofMillis(10_000, 250);

    /**
     * Pace of the watch on workers while this VM has just started. All VMs of a fleet that starts
     * ask by themselves then, and workers register one after the other: with the usual pause each
     * VM would call for nearly each of them. A worker that leaves in this time is still heard of
     * within a second.
     */
    static final WatchPace STARTING_SERVER_PACE = WatchPace.ofMillis(10_000, 1_000);

    /** Pace of the watch on roll-outs: a halt must be known at once, and is rare. */
    static final WatchPace ROLLOUT_PACE = WatchPace.ofMillis(10_000, 0);

    /** Pace of the watch on evacuations: each must be known at once, and they are rare. */
    static final WatchPace EVACUATION_PACE = WatchPace.ofMillis(10_000, 0);

    /**
     * Pace of the watch on requests that are refused for ending workers: the VMs tell each other at
     * once, and the store is for those that missed it or start later. While it is away a call every
     * few seconds finds its return.
     */
    static final WatchPace QUARANTINE_PACE =
            WatchPace.ofMillis(30_000, 0).withMaxBackoff(Duration.ofSeconds(4));

    /** Pace of that watch until its first list, for which a VM that starts waits. */
    static final WatchPace FIRST_QUARANTINE_PACE = WatchPace.ofMillis(30_000, 0);

    /**
     * How long a VM that starts waits after its list of something rare before it watches for it: by
     * then one VM asks for all of its data centre, and the first watch costs no call. What happens
     * meanwhile is heard then; new versions of workers make it list again at once.
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

    /** Returns what follows a kind; it does nothing before its start. */
    <T> Follower<T> of(
            final StoreKind<T> kind,
            final Supplier<WatchPace> pace,
            final Follower.Listener<T> listener) {
        return new Follower<>(loop, store, kind, pace, random, eras, listener);
    }
}
