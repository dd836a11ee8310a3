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
 * <p>VMs have no disk: after a power failure of the fleet each quarantined request would crash
 * further backend servers. Deleting the object of a request releases it. Entries that are missing
 * from a store that was restored from an older copy are written again. Not thread-safe; confined to
 * the event loop.
 */
final class QuarantineFeed implements Follower.Listener<Fingerprint> {

    /**
     * Rank from which on the delay of a write no longer grows. VMs report crashes to each other
     * directly, so the write may wait.
     */
    private static final int MAX_RANK = 30;

    /**
     * How long the store's entry for a released request is ignored and deleted; milliseconds.
     * Another VM may have written it just before it learned of the release.
     */
    private static final long RELEASED_MILLIS = 10_000;

    /** Pause after a failed write; milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    private final CrashDetector crashes;
    private final Store store;
    private final MonotonicClock clock;
    private final Runnable afterList;
    private final TaskStagger<Fingerprint> stagger;
    private final Set<Fingerprint> stored = new HashSet<>();
    private final Set<Fingerprint> toDelete = new HashSet<>();
    private final Set<Fingerprint> writing = new HashSet<>();
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
        this.stagger = new TaskStagger<>(rankFor, MAX_RANK, clock);
        this.afterList = Objects.requireNonNull(afterList, "afterList is null");
        crashes.onReleasedByResponse(this::onReleasedByResponse);
    }

    private void onReleasedByResponse(final Fingerprint content) {
        releasedMillis.put(content, clock.millis());
        toDelete.add(content);
    }

    private boolean wasReleased(final Fingerprint content) {
        final Long released = releasedMillis.get(content);
        return released != null && clock.millis() - released < RELEASED_MILLIS;
    }

    @Override
    public void onAll(final List<StoredValue<Fingerprint>> values) {
        final List<Fingerprint> listed =
                values.stream().map(StoredValue::value).flatMap(Optional::stream).toList();
        stored.clear();
        stored.addAll(listed);
        listed.forEach(this::onStored);
        afterList.run();
    }

    @Override
    public void onChange(final StoredValue<Fingerprint> change) {
        change.value().ifPresentOrElse(this::onStored, () -> onDeleted(change.name()));
    }

    private void onStored(final Fingerprint content) {
        stored.add(content);
        stagger.clear(content);
        if (wasReleased(content)) {
            toDelete.add(content);
        }
        if (!toDelete.contains(content)) {
            crashes.quarantine(content, "store");
        }
    }

    private void onDeleted(final String name) {
        try {
            final Fingerprint content = Fingerprint.parse(name);
            stored.remove(content);
            toDelete.remove(content);
            stagger.clear(content);
            crashes.release(content);
        } catch (final IllegalArgumentException e) {
            // The name is no fingerprint.
            EventLog.write(
                    Event.OBJECT_MALFORMED,
                    "kind",
                    StoreKind.QUARANTINE,
                    "problem",
                    e.getMessage());
        }
    }

    /** Performs the writes and deletions that are due. Called a few times a second. */
    void writeDue() {
        for (final Fingerprint content : crashes.quarantine().removeExpired()) {
            EventLog.write(Event.QUARANTINE_ENDED, "content", content, "source", "time");
            toDelete.add(content);
        }
        releasedMillis.keySet().removeIf(content -> !wasReleased(content));
        toDelete.retainAll(stored);
        if (clock.millis() < retryAtMillis) {
            return;
        }
        crashes.quarantine().contents().forEach(this::write);
        Set.copyOf(toDelete).forEach(this::delete);
    }

    private void write(final Fingerprint content) {
        if (!stored.contains(content) && mayWrite(content)) {
            store.writeQuarantine(
                    content, result -> onWritten(content, result, () -> stored.add(content)));
        }
    }

    private void delete(final Fingerprint content) {
        if (mayWrite(content)) {
            store.deleteQuarantine(
                    content, result -> onWritten(content, result, () -> stored.remove(content)));
        }
    }

    private boolean mayWrite(final Fingerprint content) {
        return stagger.mayAct(content, content.toString()) && writing.add(content);
    }

    /** Handles the result; a conflict means that another VM wrote first. */
    private void onWritten(
            final Fingerprint content, final StoreResult<Void> result, final Runnable done) {
        writing.remove(content);
        stagger.clear(content);
        if (result instanceof StoreResult.Unavailable<Void> unavailable) {
            retryAtMillis = clock.millis() + RETRY_MILLIS;
            EventLog.write(
                    Event.WRITE_FAILED,
                    "object",
                    "quarantine of " + content,
                    "detail",
                    unavailable.detail());
        } else {
            done.run();
        }
    }
}
