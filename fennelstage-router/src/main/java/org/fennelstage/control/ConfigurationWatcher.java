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
 * Watches the configuration in the store if this VM is one of the watchers of its data centre; all
 * other VMs receive changes from peers.
 *
 * <p>The number of calls grows with the number of data centres, not of VMs. A VM that has started
 * and received no configuration from peers reads it from the store itself. Thread-safe: a single
 * chain of callbacks accesses all mutable state.
 */
public final class ConfigurationWatcher {

    /** More than one, so that a crash of a watcher does not delay changes until it is detected. */
    static final int WATCHERS = 2;

    private static final Duration LONG_POLL = Duration.ofSeconds(20);
    private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(3);

    private final ObjectStore store;
    private final Duties duties;
    private final PeerGroup group;
    private final ConfigurationTable table;
    private final ScheduledExecutorService timer;
    private final Backoff backoff;
    private Revision since = Revision.NONE;
    private boolean isUnavailable;
    private volatile boolean closed;

    /**
     * Creates a watcher.
     *
     * @param store the store
     * @param duties determines whether this VM is a watcher
     * @param group publishes changes to peers
     * @param table the configuration of this VM
     * @param timer schedules polls and retries
     * @param random source of the jitter of retries
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
        this.backoff = Backoff.of(random, MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    }

    /**
     * Starts watching after peers have had time to send their configuration.
     *
     * @param initialDelay the delay before the first call of the store
     */
    public void start(final Duration initialDelay) {
        schedule(initialDelay);
    }

    /** Stops watching at the next step. */
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
            schedule(CHECK_PERIOD);
            return;
        }
        final Duration wait = since.equals(Revision.NONE) ? Duration.ZERO : LONG_POLL;
        store.changes(Keys.CONFIGURATION, since, wait, CallPriority.NORMAL)
                .whenCompleteAsync(this::onResult, timer);
    }

    /** Schedules the next step in any case; without it this VM follows no further change. */
    private void onResult(final ChangesResult result, final Throwable failure) {
        try {
            if (failure != null) {
                throw new IllegalStateException(failure);
            }
            onResult(result);
        } catch (final RuntimeException e) {
            EventLog.write(Event.INTERNAL_ERROR, "task", "configuration watch", "error", e);
            schedule(backoff.nextWait());
        }
    }

    private void onResult(final ChangesResult result) {
        if (result instanceof ChangesResult.Changed changed) {
            backoff.reset();
            group.publish(changed.objects());
            // A store that was restored from an older copy continues from an older revision. The
            // watch follows it to receive its changes; the table keeps its newer objects.
            since = changed.upTo();
            if (isUnavailable) {
                isUnavailable = false;
                EventLog.write(Event.OBJECT_API_AVAILABLE, "revision", since);
            }
            schedule(since.equals(Revision.NONE) ? CHECK_PERIOD : Duration.ZERO);
        } else if (result instanceof ChangesResult.Unavailable unavailable) {
            if (!isUnavailable) {
                isUnavailable = true;
                EventLog.write(Event.OBJECT_API_UNAVAILABLE, "detail", unavailable.detail());
            }
            schedule(backoff.nextWait());
        }
    }

    private void schedule(final Duration delay) {
        timer.schedule(this::step, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
}
