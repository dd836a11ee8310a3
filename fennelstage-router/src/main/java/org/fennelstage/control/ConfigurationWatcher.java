package org.fennelstage.control;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fennelstage.configuration.ConfigurationTable;
import org.fennelstage.configuration.Digest;
import org.fennelstage.configuration.Revision;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.objects.Backoff;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.ChangesResult;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.peer.PeerGroup;

/**
 * Watches the configuration in the object API if this VM is one of the two of its data centre whose
 * duty that is; all others hear of changes from peers.
 *
 * <p>So the calls grow with the data centres and not with the VMs. A VM that has just started and
 * hears of no configuration from peers reads it itself, once. Thread-safe: one chain of callbacks
 * carries all state.
 */
public final class ConfigurationWatcher {

    /** Two, so that a change is not late by a whole failure detection when one of them dies. */
    static final int WATCHERS = 2;

    private static final Duration LONG_POLL = Duration.ofSeconds(20);
    private static final Duration CHECK = Duration.ofSeconds(1);
    private static final Duration FIRST_RETRY = Duration.ofMillis(100);
    private static final Duration LONGEST_RETRY = Duration.ofSeconds(3);

    private final ObjectStore store;
    private final Duties duties;
    private final PeerGroup group;
    private final ConfigurationTable table;
    private final ScheduledExecutorService timer;
    private final Backoff backoff;
    private Revision since = Revision.NONE;
    private boolean isLost;
    private volatile boolean closed;

    /**
     * Creates a watcher.
     *
     * @param store the object API
     * @param duties tells whether to watch
     * @param group spreads what was heard
     * @param table the configuration
     * @param timer runs retries
     * @param random jitter of retries
     */
    public ConfigurationWatcher(
            final ObjectStore store,
            final Duties duties,
            final PeerGroup group,
            final ConfigurationTable table,
            final ScheduledExecutorService timer,
            final RandomGenerator random) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.duties = Objects.requireNonNull(duties, "duties is null");
        this.group = Objects.requireNonNull(group, "group is null");
        this.table = Objects.requireNonNull(table, "table is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.backoff = Backoff.of(random, FIRST_RETRY, LONGEST_RETRY);
    }

    /**
     * Begins, after peers have had time to send their configuration.
     *
     * @param grace the time for peers
     */
    public void start(final Duration grace) {
        schedule(grace);
    }

    /** Ends at the next step. */
    public void close() {
        closed = true;
    }

    private void step() {
        if (closed) {
            return;
        }
        final boolean isEmpty = table.digest().equals(Digest.EMPTY);
        if (!isEmpty && !duties.isAmongFirst("watch", WATCHERS)) {
            since = Revision.NONE;
            schedule(CHECK);
            return;
        }
        final Duration wait = since.equals(Revision.NONE) ? Duration.ZERO : LONG_POLL;
        store.changes(Keys.CONFIGURATION, since, wait, CallPriority.NORMAL)
                .thenAcceptAsync(this::onResult, timer);
    }

    private void onResult(final ChangesResult result) {
        if (result instanceof ChangesResult.Changed changed) {
            backoff.reset();
            group.publish(changed.objects());
            // An API that was restored from an older copy counts from an older revision. Going back
            // with it makes the watch see its changes; the table itself never goes back.
            since = changed.upTo();
            if (isLost) {
                isLost = false;
                EventLog.write(Event.OBJECT_API_AVAILABLE, "revision", since);
            }
            schedule(since.equals(Revision.NONE) ? CHECK : Duration.ZERO);
        } else if (result instanceof ChangesResult.Unavailable unavailable) {
            if (!isLost) {
                isLost = true;
                EventLog.write(Event.OBJECT_API_UNAVAILABLE, "detail", unavailable.detail());
            }
            schedule(backoff.nextWait());
        }
    }

    private void schedule(final Duration wait) {
        timer.schedule(this::step, wait.toMillis(), TimeUnit.MILLISECONDS);
    }
}
