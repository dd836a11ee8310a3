package org.fennelstage.control;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fennelstage.claim.Claim;
import org.fennelstage.claim.ClaimChange;
import org.fennelstage.claim.ClaimLog;
import org.fennelstage.claim.ClaimSegment;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.objects.Backoff;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.ChangesResult;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.MalformedValueException;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.objects.ReadResult;
import org.fennelstage.objects.WriteResult;

/**
 * Applies changes to claims in batches, by conditional writes to the store. Keys are hashed to
 * slots; the claims of a slot are stored in numbered segments, of which only the last one is open
 * for changes.
 *
 * <p>Invariant: {@link ClaimResult.Made} is returned only after the store holds the change. Several
 * keepers may work on a slot concurrently: one conditional write succeeds, and the others read the
 * result and retry on top of it. The state of a keeper is only a cache. Thread-safe; one monitor
 * per slot guards its queue and cache, and futures are completed outside of it.
 */
public final class ClaimKeeper {

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(20);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

    private final ObjectStore store;
    private final ScheduledExecutorService timer;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final Duration timeout;
    private final Map<Integer, Slot> slots = new HashMap<>();

    /**
     * Creates a keeper.
     *
     * @param store the store
     * @param timer schedules retries
     * @param clock the clock
     * @param random source of the jitter of retries
     * @param timeout the time after which a change that is not written yet fails
     */
    public ClaimKeeper(
            final ObjectStore store,
            final ScheduledExecutorService timer,
            final InstantSource clock,
            final RandomGenerator random,
            final Duration timeout) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    /**
     * Applies a change.
     *
     * @param slot the slot of the change's key
     * @param change the change
     * @return the result of the change
     */
    public CompletableFuture<ClaimResult> submit(final int slot, final ClaimChange change) {
        final Slot target;
        synchronized (slots) {
            target = slots.computeIfAbsent(slot, Slot::new);
        }
        return target.submit(change);
    }

    /**
     * Returns how many claims are cached.
     *
     * @return the count over all slots
     */
    public int cached() {
        final List<Slot> all;
        synchronized (slots) {
            all = List.copyOf(slots.values());
        }
        return all.stream().mapToInt(Slot::cached).sum();
    }

    private record PendingChange(
            ClaimChange change, CompletableFuture<ClaimResult> future, long deadlineMillis) {}

    private record Completion(CompletableFuture<ClaimResult> future, ClaimResult value) {
        void complete() {
            future.complete(value);
        }
    }

    /** One slot's queue and cache. */
    private final class Slot {

        private final int number;
        private final Backoff backoff;
        private List<PendingChange> queue = new ArrayList<>();
        private ClaimLog log;
        private Revision revision = Revision.NONE;
        private boolean busy;

        Slot(final int number) {
            this.number = number;
            this.backoff = Backoff.of(random, MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        }

        CompletableFuture<ClaimResult> submit(final ClaimChange change) {
            final CompletableFuture<ClaimResult> future = new CompletableFuture<>();
            final long deadline = clock.millis() + timeout.toMillis();
            synchronized (this) {
                queue.add(new PendingChange(change, future, deadline));
                if (busy) {
                    return future;
                }
                busy = true;
            }
            step();
            return future;
        }

        synchronized int cached() {
            return log == null ? 0 : log.size();
        }

        /**
         * Processes the queue; called only by the thread that set {@code busy}, or its callbacks.
         */
        private void step() {
            failOverdueChanges();
            final boolean isLoaded;
            synchronized (this) {
                if (queue.isEmpty()) {
                    busy = false;
                    return;
                }
                isLoaded = log != null;
            }
            if (isLoaded) {
                commit();
            } else {
                load();
            }
        }

        private void load() {
            store.changes(Keys.claimSlot(number), Revision.NONE, Duration.ZERO, CallPriority.URGENT)
                    .thenAccept(
                            result -> {
                                if (result instanceof ChangesResult.Changed changed
                                        && install(changed.objects())) {
                                    EventLog.write(
                                            Event.CLAIM_LOG_LOADED,
                                            "slot",
                                            number,
                                            "segments",
                                            changed.objects().size());
                                    step();
                                } else {
                                    scheduleStep();
                                }
                            });
        }

        private synchronized boolean install(final List<StoredObject> segments) {
            ClaimLog loaded = ClaimLog.empty();
            Revision openRevision = Revision.NONE;
            try {
                for (final StoredObject object : segments) {
                    if (object.value().isEmpty()) {
                        continue;
                    }
                    final ClaimSegment segment =
                            Json.read(object.value().get(), ClaimSegment.class);
                    loaded = loaded.advance(segment);
                    openRevision = segment.sealed() ? Revision.NONE : object.revision();
                }
            } catch (final MalformedValueException e) {
                return false;
            }
            log = loaded;
            revision = openRevision;
            return true;
        }

        private void commit() {
            final List<PendingChange> batch;
            final List<Completion> completions = new ArrayList<>();
            final List<PendingChange> written = new ArrayList<>();
            final ClaimSegment next;
            final Revision expected;
            synchronized (this) {
                batch = queue;
                queue = new ArrayList<>();
                next = apply(batch, completions, written);
                expected = revision;
            }
            completions.forEach(Completion::complete);
            if (written.isEmpty() && !next.isFull()) {
                step();
                return;
            }
            final ClaimSegment segment = next.isFull() ? next.seal() : next;
            store.write(
                            Keys.claims(number, segment.number()),
                            expected,
                            Json.write(segment),
                            CallPriority.URGENT)
                    .thenAccept(result -> onWritten(result, segment, written));
        }

        /** Splits a batch into changes whose result is known and changes for the next write. */
        private ClaimSegment apply(
                final List<PendingChange> batch,
                final List<Completion> completions,
                final List<PendingChange> written) {
            ClaimLog current = log;
            for (final PendingChange pending : batch) {
                final ClaimChange change = pending.change();
                if (log.contains(change)) {
                    completions.add(new Completion(pending.future(), new ClaimResult.Made()));
                } else if (current.allows(change)) {
                    current = current.advance(current.open().with(change));
                    written.add(pending);
                } else {
                    final Claim existing =
                            current.find(change.key()).orElseGet(() -> change.claim());
                    completions.add(
                            new Completion(pending.future(), new ClaimResult.Conflict(existing)));
                }
            }
            return current.open();
        }

        private void onWritten(
                final WriteResult result,
                final ClaimSegment segment,
                final List<PendingChange> written) {
            if (result instanceof WriteResult.Written done) {
                synchronized (this) {
                    log = log.advance(segment);
                    revision = segment.sealed() ? Revision.NONE : done.revision();
                    backoff.reset();
                }
                written.forEach(p -> p.future().complete(new ClaimResult.Made()));
                step();
                return;
            }
            requeue(written);
            if (result instanceof WriteResult.Conflict conflict) {
                onConflict(conflict.current());
            } else {
                // The write may have taken effect although its result is unknown. The changes are
                // queued again and completed from the segment that is read back.
                readBack(segment.number());
            }
        }

        private void onConflict(final StoredObject current) {
            if (updateCache(current)) {
                step();
                return;
            }
            // The store rejects the cached revision and returns an older one: it was restored from
            // an older copy. An immediate retry would loop and use up this VM's calls, so the cache
            // is dropped and reloaded after a delay.
            synchronized (this) {
                log = null;
                revision = Revision.NONE;
            }
            scheduleStep();
        }

        private void readBack(final long segment) {
            store.read(Keys.claims(number, segment), CallPriority.URGENT)
                    .thenAccept(
                            result -> {
                                if (result instanceof ReadResult.Found found) {
                                    updateCache(found.object());
                                }
                                scheduleStep();
                            });
        }

        /** Updates the cache from an object; returns false if the object is not newer. */
        private synchronized boolean updateCache(final StoredObject object) {
            if (!object.revision().isAfter(revision)) {
                return false;
            }
            if (object.value().isEmpty()) {
                log = null;
                return true;
            }
            try {
                final ClaimSegment segment = Json.read(object.value().get(), ClaimSegment.class);
                log = log.advance(segment);
                revision = segment.sealed() ? Revision.NONE : object.revision();
            } catch (final MalformedValueException e) {
                log = null;
            }
            return true;
        }

        private synchronized void requeue(final List<PendingChange> written) {
            final List<PendingChange> all = new ArrayList<>(written);
            all.addAll(queue);
            queue = all;
        }

        private void failOverdueChanges() {
            final long now = clock.millis();
            final List<PendingChange> overdue = new ArrayList<>();
            synchronized (this) {
                queue.removeIf(
                        p -> {
                            final boolean isOverdue = now >= p.deadlineMillis();
                            if (isOverdue) {
                                overdue.add(p);
                            }
                            return isOverdue;
                        });
            }
            overdue.forEach(
                    p ->
                            p.future()
                                    .complete(
                                            new ClaimResult.Unavailable(
                                                    "the store did not confirm the claim in time")));
        }

        private void scheduleStep() {
            final long wait;
            synchronized (this) {
                wait = backoff.nextWait().toMillis();
            }
            timer.schedule(this::step, wait, TimeUnit.MILLISECONDS);
        }
    }
}
