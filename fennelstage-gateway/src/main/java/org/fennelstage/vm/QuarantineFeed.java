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
import org.fennelstage.gateway.CrashWatch;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.store.Follower;
import org.fennelstage.store.Store;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;
import org.fennelstage.time.MonotonicClock;

/**
 * Keeps the requests that end their workers in the store, and learns from it those that other VMs
 * found.
 *
 * <p>VMs have no disk: when all of them lose power, each would learn anew what a request does, at
 * the price of three workers. An operator who deletes the object of a request has it served again.
 * What the store has lost by coming back from an older copy is written again. Confined to the event
 * loop.
 */
final class QuarantineFeed implements Follower.Listener<Fingerprint> {

    /** Turns waited for at most: the VMs tell each other at once, so this write may wait. */
    private static final int MOST_TURNS = 30;

    /**
     * How long the store's word that a request is refused is doubted after its answer;
     * milliseconds. Another VM may have written it a moment before it heard of the answer.
     */
    private static final long LIFTED_MILLIS = 10_000;

    /** The wait after a write that failed; milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    private final CrashWatch crashes;
    private final Store store;
    private final MonotonicClock clock;
    private final Runnable afterList;
    private final Turns<Fingerprint> turns;
    private final Set<Fingerprint> stored = new HashSet<>();
    private final Set<Fingerprint> over = new HashSet<>();
    private final Set<Fingerprint> writing = new HashSet<>();
    private final Map<Fingerprint, Long> liftedMillis = new HashMap<>();
    private long retryAtMillis = Long.MIN_VALUE;

    QuarantineFeed(
            final CrashWatch crashes,
            final Store store,
            final ToIntFunction<String> turnAt,
            final MonotonicClock clock,
            final Runnable afterList) {
        this.crashes = Objects.requireNonNull(crashes, "crashes is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.turns = new Turns<>(turnAt, MOST_TURNS, clock);
        this.afterList = Objects.requireNonNull(afterList, "afterList is null");
        crashes.onLifted(this::onLifted);
    }

    private void onLifted(final Fingerprint content) {
        liftedMillis.put(content, clock.millis());
        over.add(content);
    }

    private boolean wasLifted(final Fingerprint content) {
        final Long lifted = liftedMillis.get(content);
        return lifted != null && clock.millis() - lifted < LIFTED_MILLIS;
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
        change.value().ifPresentOrElse(this::onStored, () -> onGone(change.name()));
    }

    private void onStored(final Fingerprint content) {
        stored.add(content);
        turns.forget(content);
        if (wasLifted(content)) {
            over.add(content);
        }
        if (!over.contains(content)) {
            crashes.quarantine(content, "store");
        }
    }

    private void onGone(final String name) {
        try {
            final Fingerprint content = Fingerprint.parse(name);
            stored.remove(content);
            over.remove(content);
            turns.forget(content);
            crashes.release(content);
        } catch (final IllegalArgumentException e) {
            // Another writer may use names that are no request's; those release none.
            EventLog.write(
                    Event.OBJECT_MALFORMED,
                    "kind",
                    StoreKind.QUARANTINE,
                    "problem",
                    e.getMessage());
        }
    }

    /** Writes and deletes what is due. To be called a few times a second. */
    void writeDue() {
        for (final Fingerprint content : crashes.quarantine().removeExpired()) {
            EventLog.write(Event.QUARANTINE_ENDED, "content", content, "source", "time");
            over.add(content);
        }
        liftedMillis.keySet().removeIf(content -> !wasLifted(content));
        over.retainAll(stored);
        if (clock.millis() < retryAtMillis) {
            return;
        }
        crashes.quarantine().contents().forEach(this::write);
        Set.copyOf(over).forEach(this::delete);
    }

    private void write(final Fingerprint content) {
        if (!stored.contains(content) && mayWrite(content)) {
            store.writeQuarantine(
                    content, answer -> onWritten(content, answer, () -> stored.add(content)));
        }
    }

    private void delete(final Fingerprint content) {
        if (mayWrite(content)) {
            store.deleteQuarantine(
                    content, answer -> onWritten(content, answer, () -> stored.remove(content)));
        }
    }

    private boolean mayWrite(final Fingerprint content) {
        return turns.isOwn(content, content.toString()) && writing.add(content);
    }

    /** A conflict says that another VM wrote it before. */
    private void onWritten(
            final Fingerprint content, final StoreResult<Void> answer, final Runnable done) {
        writing.remove(content);
        turns.forget(content);
        if (answer instanceof StoreResult.Unavailable<Void> unavailable) {
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
