package org.fennelstage.vm;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.QuarantineEntry;
import org.fennelstage.gateway.CrashDetector;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.store.Follower;
import org.fennelstage.store.Store;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;
import org.fennelstage.time.MonotonicClock;

/**
 * Writes the quarantine of this VM to the store, and applies that of other VMs from it.
 *
 * <p>VMs have no disk: after a power failure of the fleet each quarantined content or part would
 * crash further backend servers. Deleting its object releases it. Entries that are missing from a
 * store that was restored from an older copy are written again.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class QuarantineFeed implements Follower.Listener<QuarantineEntry> {

    /**
     * Rank from which on the delay of a write no longer grows. VMs report crashes to each other
     * directly, so the write may wait.
     */
    private static final int MAX_RANK = 30;

    /**
     * How long the store's entry for a released content or part is ignored and deleted;
     * milliseconds. Another VM may have written it just before it learned of the release.
     */
    private static final long RELEASED_MILLIS = 10_000;

    /** Pause after a failed write; milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    private final CrashDetector crashes;
    private final Store store;
    private final MonotonicClock clock;
    private final Runnable afterList;
    private final QuarantineTrials trials;
    private final TaskStagger<QuarantineEntry> stagger;
    private final Set<QuarantineEntry> stored = new HashSet<>();
    private final Set<QuarantineEntry> toDelete = new HashSet<>();
    private final Set<QuarantineEntry> writing = new HashSet<>();
    private final Map<Fingerprint, Long> releasedMillis = new HashMap<>();
    private long retryAtMillis = Long.MIN_VALUE;

    QuarantineFeed(
            final CrashDetector crashes,
            final Store store,
            final ToIntFunction<String> rankFor,
            final MonotonicClock clock,
            final Runnable afterList) {
        this.crashes = Objects.requireNonNull(crashes, "crashes is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.trials = new QuarantineTrials(crashes.quarantine());
        this.stagger = new TaskStagger<>(rankFor, MAX_RANK, clock);
        this.afterList = Objects.requireNonNull(afterList, "afterList is null");
        crashes.onReleased(this::onReleased);
    }

    private void onReleased(final Fingerprint fingerprint) {
        releasedMillis.put(fingerprint, clock.millis());
        deleteAll(fingerprint);
    }

    private void deleteAll(final Fingerprint fingerprint) {
        toDelete.add(QuarantineEntry.of(fingerprint));
        deleteTrials(fingerprint);
    }

    private void deleteTrials(final Fingerprint fingerprint) {
        stored.stream()
                .filter(entry -> entry.isTrial() && entry.fingerprint().equals(fingerprint))
                .forEach(toDelete::add);
    }

    private boolean wasReleased(final Fingerprint fingerprint) {
        final Long released = releasedMillis.get(fingerprint);
        return released != null && clock.millis() - released < RELEASED_MILLIS;
    }

    @Override
    public void onAll(final List<StoredValue<QuarantineEntry>> values) {
        final List<QuarantineEntry> listed =
                values.stream().map(StoredValue::value).flatMap(Optional::stream).toList();
        stored.clear();
        stored.addAll(listed);
        listed.forEach(this::onStored);
        afterList.run();
    }

    @Override
    public void onChange(final StoredValue<QuarantineEntry> change) {
        change.value().ifPresentOrElse(this::onStored, () -> onDeleted(change.name()));
    }

    private void onStored(final QuarantineEntry entry) {
        stored.add(entry);
        stagger.clear(entry);
        if (wasReleased(entry.fingerprint())) {
            toDelete.add(entry);
        }
        if (entry.isTrial()) {
            trials.onSeen(entry);
        } else if (!toDelete.contains(entry)) {
            crashes.quarantine(entry.fingerprint(), "store");
        }
    }

    private void onDeleted(final String name) {
        try {
            final QuarantineEntry entry = QuarantineEntry.parse(name);
            forget(entry);
            toDelete.remove(entry);
            stagger.clear(entry);
            if (!entry.isTrial()) {
                crashes.release(entry.fingerprint());
            }
        } catch (final IllegalArgumentException e) {
            EventLog.write(
                    Event.OBJECT_MALFORMED,
                    "kind",
                    StoreKind.QUARANTINE,
                    "problem",
                    e.getMessage());
        }
    }

    /** Records that an entry is no longer stored; the trials of its quarantine end with it. */
    private void forget(final QuarantineEntry entry) {
        stored.remove(entry);
        if (!entry.isTrial()) {
            deleteTrials(entry.fingerprint());
        }
    }

    /** Performs the writes and deletions that are due. Called a few times a second. */
    void writeDue() {
        crashes.removeExpired().forEach(this::deleteAll);
        releasedMillis.keySet().removeIf(fingerprint -> !wasReleased(fingerprint));
        toDelete.retainAll(stored);
        trials.onRejected(crashes.takeRejectedParts());
        final List<QuarantineEntry> dueTrials = trials.due();
        if (clock.millis() < retryAtMillis) {
            return;
        }
        crashes.quarantine().contents().forEach(f -> write(QuarantineEntry.of(f)));
        dueTrials.forEach(this::write);
        Set.copyOf(toDelete).forEach(this::delete);
    }

    private void write(final QuarantineEntry entry) {
        if (!stored.contains(entry) && mayWrite(entry)) {
            store.writeQuarantine(
                    entry, result -> onWritten(entry, result, () -> onCreated(entry, result)));
        }
    }

    private void onCreated(final QuarantineEntry entry, final StoreResult<Void> result) {
        stored.add(entry);
        if (!entry.isTrial()) {
            return;
        }
        trials.onSeen(entry);
        if (result instanceof StoreResult.Done<Void>) {
            crashes.allowTrial(entry.fingerprint());
        }
    }

    private void delete(final QuarantineEntry entry) {
        if (mayWrite(entry)) {
            store.deleteQuarantine(entry, result -> onWritten(entry, result, () -> forget(entry)));
        }
    }

    private boolean mayWrite(final QuarantineEntry entry) {
        return stagger.mayAct(entry, entry.toString()) && writing.add(entry);
    }

    /** Handles the result; a conflict means that another VM wrote first. */
    private void onWritten(
            final QuarantineEntry entry, final StoreResult<Void> result, final Runnable done) {
        writing.remove(entry);
        stagger.clear(entry);
        if (result instanceof StoreResult.Unavailable<Void> unavailable) {
            retryAtMillis = clock.millis() + RETRY_MILLIS;
            EventLog.write(
                    Event.WRITE_FAILED,
                    "object",
                    "quarantine of " + entry,
                    "detail",
                    unavailable.detail());
        } else {
            done.run();
        }
    }
}
