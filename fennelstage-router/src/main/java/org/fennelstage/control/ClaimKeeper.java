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
 * Makes changes to claims, many at a time, by conditional updates of the open segment of each slot.
 *
 * <p>Invariant: an answer "made" is given only after the object API holds the change. Any number of
 * keepers may work on a slot at once: all but one lose each conditional update, read what won, and
 * try again on top of it. What a keeper remembers is only a cache. Thread-safe; one monitor per
 * slot guards its queue and cache, and futures are completed outside of it.
 */
public final class ClaimKeeper {

    private static final Duration FIRST_RETRY = Duration.ofMillis(20);
    private static final Duration LONGEST_RETRY = Duration.ofSeconds(1);

    private final ObjectStore store;
    private final ScheduledExecutorService timer;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final Duration patience;
    private final Map<Integer, Slot> slots = new HashMap<>();

    /**
     * Creates a keeper.
     *
     * @param store the object API
     * @param timer runs retries
     * @param clock the clock
     * @param random jitter of retries
     * @param patience how long a change is tried before it is given up
     */
    public ClaimKeeper(
            final ObjectStore store,
            final ScheduledExecutorService timer,
            final InstantSource clock,
            final RandomGenerator random,
            final Duration patience) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.patience = Objects.requireNonNull(patience, "patience is null");
    }

    /**
     * Makes a change.
     *
     * @param slot the slot of the change's key
     * @param change the change
     * @return how it ended
     */
    public CompletableFuture<ClaimAnswer> submit(final int slot, final ClaimChange change) {
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

    private record Waiting(
            ClaimChange change, CompletableFuture<ClaimAnswer> answer, long deadlineMillis) {}

    private record Settled(CompletableFuture<ClaimAnswer> answer, ClaimAnswer value) {
        void complete() {
            answer.complete(value);
        }
    }

    /** One slot's queue and cache. */
    private final class Slot {

        private final int number;
        private final Backoff backoff;
        private List<Waiting> queue = new ArrayList<>();
        private ClaimLog log;
        private Revision revision = Revision.NONE;
        private boolean busy;

        Slot(final int number) {
            this.number = number;
            this.backoff = Backoff.of(random, FIRST_RETRY, LONGEST_RETRY);
        }

        CompletableFuture<ClaimAnswer> submit(final ClaimChange change) {
            final CompletableFuture<ClaimAnswer> answer = new CompletableFuture<>();
            final long deadline = clock.millis() + patience.toMillis();
            synchronized (this) {
                queue.add(new Waiting(change, answer, deadline));
                if (busy) {
                    return answer;
                }
                busy = true;
            }
            step();
            return answer;
        }

        synchronized int cached() {
            return log == null ? 0 : log.size();
        }

        /** Does the next thing for the queue; entered only by the one that set busy. */
        private void step() {
            giveUpLate();
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
                                    stepLater();
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
            final List<Waiting> batch;
            final List<Settled> settled = new ArrayList<>();
            final List<Waiting> written = new ArrayList<>();
            final ClaimSegment next;
            final Revision expected;
            synchronized (this) {
                batch = queue;
                queue = new ArrayList<>();
                next = apply(batch, settled, written);
                expected = revision;
            }
            settled.forEach(Settled::complete);
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

        /** Sorts a batch into what can be answered now and what the next write will make. */
        private ClaimSegment apply(
                final List<Waiting> batch,
                final List<Settled> settled,
                final List<Waiting> written) {
            ClaimLog current = log;
            for (final Waiting waiting : batch) {
                final ClaimChange change = waiting.change();
                if (log.contains(change)) {
                    settled.add(new Settled(waiting.answer(), new ClaimAnswer.Made()));
                } else if (current.allows(change)) {
                    current = current.advance(current.open().with(change));
                    written.add(waiting);
                } else {
                    final Claim held = current.find(change.key()).orElseGet(() -> change.claim());
                    settled.add(new Settled(waiting.answer(), new ClaimAnswer.Refused(held)));
                }
            }
            return current.open();
        }

        private void onWritten(
                final WriteResult result, final ClaimSegment segment, final List<Waiting> written) {
            if (result instanceof WriteResult.Written done) {
                synchronized (this) {
                    log = log.advance(segment);
                    revision = segment.sealed() ? Revision.NONE : done.revision();
                    backoff.reset();
                }
                written.forEach(w -> w.answer().complete(new ClaimAnswer.Made()));
                step();
                return;
            }
            requeue(written);
            if (result instanceof WriteResult.Conflict conflict) {
                onConflict(conflict.current());
            } else {
                // Unknown: the write may stand although its answer was lost. Reading back tells;
                // the changes are in the queue again and are answered from what is read.
                readBack(segment.number());
            }
        }

        private void onConflict(final StoredObject current) {
            if (adopt(current)) {
                step();
                return;
            }
            // The store refuses our revision and shows an older one: it was restored from an older
            // copy. Trying again at once would loop, use up this VM's calls, and keep its bills
            // from being written; what is cached is worth nothing, so it is read anew, later.
            synchronized (this) {
                log = null;
                revision = Revision.NONE;
            }
            stepLater();
        }

        private void readBack(final long segment) {
            store.read(Keys.claims(number, segment), CallPriority.URGENT)
                    .thenAccept(
                            result -> {
                                if (result instanceof ReadResult.Found found) {
                                    adopt(found.object());
                                }
                                stepLater();
                            });
        }

        /** Takes over what the store holds; false if that is not newer than what is cached. */
        private synchronized boolean adopt(final StoredObject object) {
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

        private synchronized void requeue(final List<Waiting> written) {
            final List<Waiting> all = new ArrayList<>(written);
            all.addAll(queue);
            queue = all;
        }

        private void giveUpLate() {
            final long now = clock.millis();
            final List<Waiting> late = new ArrayList<>();
            synchronized (this) {
                queue.removeIf(
                        w -> {
                            final boolean isLate = now >= w.deadlineMillis();
                            if (isLate) {
                                late.add(w);
                            }
                            return isLate;
                        });
            }
            late.forEach(
                    w ->
                            w.answer()
                                    .complete(
                                            new ClaimAnswer.Unavailable(
                                                    "the object API did not confirm in time")));
        }

        private void stepLater() {
            final long wait;
            synchronized (this) {
                wait = backoff.nextWait().toMillis();
            }
            timer.schedule(this::step, wait, TimeUnit.MILLISECONDS);
        }
    }
}
