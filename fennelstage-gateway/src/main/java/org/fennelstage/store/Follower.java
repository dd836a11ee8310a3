package org.fennelstage.store;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fennelstage.history.Position;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/**
 * Keeps up with the objects of one kind: a list, then one watch after the other.
 *
 * <p>A watch may die without a word, or be told that its history is gone; either way the next call
 * finds the state of things. So it is when the store comes back from an older copy: a watch that
 * goes on then skips what was written at revisions that were given out twice, so the objects are
 * listed anew, whatever the watch brings. Invariant: the listener hears of a position only after
 * all that came before it in its era, and never of an older state than it has, but for the first
 * list of a new era. Confined to its event loop.
 *
 * @param <T> what an object decodes to
 */
public final class Follower<T> {

    /** Bound of the first wait after a failure; full jitter, so that VMs do not return together. */
    private static final long FIRST_BACKOFF_MILLIS = 50;

    /**
     * Hears of the objects.
     *
     * @param <T> what an object decodes to
     */
    public interface Listener<T> {

        /**
         * Takes all objects.
         *
         * @param values the objects
         */
        void onAll(List<StoredValue<T>> values);

        /**
         * Takes one change.
         *
         * @param value the object, without content if it was deleted
         */
        void onChange(StoredValue<T> value);

        /**
         * Hears up to which position nothing of this kind was missed.
         *
         * @param position the position
         */
        default void onPosition(final Position position) {}

        /**
         * Hears of an object that is there and cannot be understood; after {@link #onAll}, if it
         * was in a list.
         *
         * @param value its name and what is wrong with it
         */
        default void onMalformed(final StoredValue<T> value) {}

        /** Hears that a call failed: the store is away, or the way by which it was asked. */
        default void onStoreCallFailed() {}

        /**
         * Hears that a list failed too. A list is asked for by every way there is, so this is the
         * store itself.
         */
        default void onStoreUnavailable() {}

        /** Hears that the store answers again, before the news that it brings. */
        default void onStoreAvailable() {}

        /**
         * Hears that the store has come back from an older copy, before the first list of the new
         * era: what was heard may be lost there, and what is listed may be older than it.
         */
        default void onStoreRestored() {}
    }

    private final EventLoop loop;
    private final Store store;
    private final StoreKind<T> kind;
    private final Listener<T> listener;
    private final Supplier<WatchPace> pace;
    private final RandomGenerator random;
    private final EraTracker eras;
    private final List<StoredValue<T>> listed = new ArrayList<>();
    private final MalformedObjects malformed;
    private Position position = Position.NONE;

    /** Counts the rounds of list and watches; what an earlier round asked for is not heard. */
    private int round;

    private int failures;
    private boolean away;
    private boolean refreshing;
    private boolean started;
    private boolean stopped;

    /**
     * Creates a follower; it does nothing before its start.
     *
     * @param loop runs it
     * @param store the store
     * @param kind the kind to follow
     * @param pace how often to call at present; each call is paid for
     * @param random the source of jitter
     * @param eras the era that all followers of this VM share
     * @param listener hears of the objects
     */
    public Follower(
            final EventLoop loop,
            final Store store,
            final StoreKind<T> kind,
            final Supplier<WatchPace> pace,
            final RandomGenerator random,
            final EraTracker eras,
            final Listener<T> listener) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.kind = Objects.requireNonNull(kind, "kind is null");
        this.pace = Objects.requireNonNull(pace, "pace is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.eras = Objects.requireNonNull(eras, "eras is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        this.malformed = MalformedObjects.empty(kind.toString());
        eras.onNewEra(this::onStoreRestored);
    }

    /** Begins to follow. */
    public void start() {
        started = true;
        listAnew();
    }

    private void onStoreRestored() {
        listener.onStoreRestored();
        if (started) {
            listAnew();
        }
    }

    /**
     * Lists the objects beside the watch, so that the listener hears of their present state now and
     * not when the watch ends. Does nothing while such a list is under way.
     */
    public void refresh() {
        if (refreshing || stopped) {
            return;
        }
        refreshing = true;
        store.list(kind, Optional.empty(), this::onRefreshed);
    }

    private void onRefreshed(final StoreResult<Page<T>> answer) {
        refreshing = false;
        // A failure shows in the watch as well, which lists anew then. A list in parts is left to
        // it too.
        if (answer instanceof StoreResult.Done<Page<T>> done
                && done.value().next().isEmpty()
                && isPresent(done.value())) {
            hearAll(done.value().values());
            listener.onPosition(done.value().position());
        }
    }

    /**
     * Tells whether a page is of the era that this follower has listed. One of a later era makes
     * all followers list anew, this one too; one of a former era says nothing of the present.
     */
    private boolean isPresent(final Page<T> page) {
        final int before = round;
        return eras.offer(page.position(), kind) && round == before;
    }

    /** Makes no further call. */
    public void stop() {
        stopped = true;
    }

    private void listAnew() {
        if (!stopped) {
            round++;
            listed.clear();
            list(Optional.empty());
        }
    }

    private void list(final Optional<String> after) {
        final int asked = round;
        store.list(
                kind,
                after,
                answer -> {
                    if (asked == round) {
                        onListed(answer);
                    }
                });
    }

    private void onListed(final StoreResult<Page<T>> answer) {
        if (!(answer instanceof StoreResult.Done<Page<T>> done)) {
            retry(describe(answer));
            onListFailed();
            return;
        }
        final Page<T> page = done.value();
        if (!isPresent(page)) {
            listAgainIfOld(page);
            return;
        }
        onSuccess();
        listed.addAll(page.values());
        if (page.next().isPresent()) {
            list(page.next());
            return;
        }
        position = page.position();
        hearAll(List.copyOf(listed));
        listed.clear();
        listener.onPosition(position);
        watchAfter(pace.get().listPause());
    }

    /** A VM that lags passed an answer of a former era on: asked again after a pause. */
    private void listAgainIfOld(final Page<T> page) {
        if (eras.isOfFormerEra(page.position())) {
            logStale(page);
            retry("answer of an era that has ended");
        }
    }

    private void logStale(final Page<T> page) {
        EventLog.write(Event.STALE_ANSWER, "kind", kind, "has", position, "got", page.position());
    }

    private void watch() {
        if (stopped) {
            return;
        }
        final int asked = round;
        store.watch(
                kind,
                position,
                pace.get().watchTime(),
                answer -> {
                    if (asked == round) {
                        onWatched(answer);
                    }
                });
    }

    private void watchAfter(final Duration wait) {
        if (wait.isZero()) {
            watch();
            return;
        }
        final int asked = round;
        loop.schedule(
                () -> {
                    if (asked == round) {
                        watch();
                    }
                },
                wait.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void onWatched(final StoreResult<Page<T>> answer) {
        if (answer instanceof StoreResult.HistoryGone<Page<T>>) {
            EventLog.write(Event.HISTORY_GONE, "kind", kind, "revision", position);
            listAnew();
            return;
        }
        if (answer instanceof StoreResult.TooLarge<Page<T>>) {
            // A list holds the present state alone. A watch brings every version in between, so
            // that a VM with a slow link which has fallen behind falls behind further.
            listAnew();
            return;
        }
        if (!(answer instanceof StoreResult.Done<Page<T>> done)) {
            retry(describe(answer));
            return;
        }
        final Page<T> page = done.value();
        if (!isPresent(page)) {
            listAgainIfOld(page);
            return;
        }
        onSuccess();
        if (position.isAfter(page.position())) {
            logStale(page);
            listAnew();
            return;
        }
        position = page.position();
        page.values().forEach(this::hearChange);
        listener.onPosition(position);
        if (page.values().isEmpty()) {
            watch();
        } else {
            watchAfter(pace.get().pause());
        }
    }

    private void hearAll(final List<StoredValue<T>> values) {
        final List<StoredValue<T>> good = new ArrayList<>();
        final List<StoredValue<T>> bad = new ArrayList<>();
        values.forEach(value -> (value.problem().isEmpty() ? good : bad).add(value));
        malformed.keep(values);
        good.forEach(malformed::note);
        listener.onAll(good);
        bad.forEach(this::hearMalformed);
    }

    private void hearChange(final StoredValue<T> value) {
        if (value.problem().isPresent()) {
            hearMalformed(value);
        } else {
            malformed.note(value);
            listener.onChange(value);
        }
    }

    private void hearMalformed(final StoredValue<T> value) {
        malformed.note(value);
        listener.onMalformed(value);
    }

    private void onSuccess() {
        if (failures > 0) {
            EventLog.write(
                    Event.STORE_BACK, "kind", kind, "failed_calls", failures, "was_away", away);
            failures = 0;
            away = false;
            listener.onStoreAvailable();
        }
    }

    private void onListFailed() {
        if (!away) {
            away = true;
            EventLog.write(Event.STORE_AWAY, "kind", kind, "revision", position);
            listener.onStoreUnavailable();
        }
    }

    private void retry(final String detail) {
        failures++;
        if (failures == 1) {
            EventLog.write(Event.STORE_LOST, "kind", kind, "revision", position, "detail", detail);
            listener.onStoreCallFailed();
        }
        final long bound =
                Math.min(
                        pace.get().maxBackoff().toMillis(),
                        FIRST_BACKOFF_MILLIS << Math.min(failures - 1, 10));
        // Listed anew, not watched on: a store that cut its watches may have dropped the changes
        // that they missed, and a watch that comes in between is deaf to them.
        final int failed = round;
        loop.schedule(
                () -> {
                    if (failed == round) {
                        listAnew();
                    }
                },
                1 + random.nextLong(bound),
                TimeUnit.MILLISECONDS);
    }

    private static String describe(final StoreResult<?> answer) {
        return answer instanceof StoreResult.Unavailable<?> unavailable
                ? unavailable.detail()
                : answer.getClass().getSimpleName();
    }
}
