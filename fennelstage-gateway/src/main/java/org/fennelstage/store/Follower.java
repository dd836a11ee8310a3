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
import org.fennelstage.startup.CopyTerms;

/**
 * Follows the objects of one kind: a list, then consecutive watches.
 *
 * <p>After a failed watch, a lost history or a new era of the store, the objects are listed again:
 * a watch that continued could miss changes, since a store that was restored from an older copy
 * assigns revisions a second time.
 *
 * <p>Invariant: the listener receives a position only after all changes before it in its era, and
 * never an older state than the one it has, except for the first list of a new era. Not
 * thread-safe; confined to its event loop.
 *
 * @param <T> the type that objects decode to
 */
public final class Follower<T> {

    /** Bound of the first backoff. Full jitter spreads the calls of the VMs. */
    private static final long FIRST_BACKOFF_MILLIS = 50;

    /**
     * Receives the objects and the state of the store.
     *
     * @param <T> the type that objects decode to
     */
    public interface Listener<T> {

        /**
         * Receives the complete list of valid objects.
         *
         * @param values the objects
         */
        void onAll(List<StoredValue<T>> values);

        /**
         * Receives a changed or deleted object.
         *
         * @param value the object, with an empty value if it was deleted
         */
        void onChange(StoredValue<T> value);

        /**
         * Receives the position up to which all changes of this kind have been received.
         *
         * @param position the position
         */
        default void onPosition(final Position position) {}

        /**
         * Receives a malformed object; after {@link #onAll}, if it was in a list.
         *
         * @param value its name and problem
         */
        default void onMalformed(final StoredValue<T> value) {}

        /** Called when a call failed; the cause may be the store or a relay. */
        default void onStoreCallFailed() {}

        /**
         * Called when a list failed too. Lists are tried directly and through relays, so the store
         * is unavailable.
         */
        default void onStoreUnavailable() {}

        /** Called when calls succeed again, before the objects are delivered. */
        default void onStoreAvailable() {}

        /**
         * Called when the store was restored from an older copy, before the first list of the new
         * era. The store may have lost changes that were received before.
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
    private final List<Optional<PageText>> listedTexts = new ArrayList<>();
    private final MalformedObjects malformed;
    private PageKeeper keeper = PageKeeper.NONE;
    private Position position = Position.NONE;
    private boolean readFromStore;

    /** The position when the current list began. */
    private Position positionBeforeList = Position.NONE;

    /** Incremented by each new list; results of calls made in an earlier round are ignored. */
    private int round;

    private int failures;

    /** Results in a row that the listener failed on. */
    private int unhandled;

    private boolean unavailable;
    private boolean refreshing;
    private boolean started;
    private boolean stopped;

    /**
     * Creates a follower. It makes no call before {@link #start}.
     *
     * @param loop the event loop that runs it
     * @param store the store
     * @param kind the kind to follow
     * @param pace the current timing of calls
     * @param random the source of jitter
     * @param eras the tracker that all followers of this VM share
     * @param listener receives the objects
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
        eras.onNewEra(this::onNewEra);
    }

    /**
     * Sets where the texts of what is read from the store are kept; nowhere by default.
     *
     * @param newKeeper receives the texts before the listener receives the objects
     */
    public void keepTextsIn(final PageKeeper newKeeper) {
        keeper = Objects.requireNonNull(newKeeper, "newKeeper is null");
    }

    /**
     * Returns whether the listener has received a list, from the store or from a copy.
     *
     * @return true after the first list
     */
    public boolean hasState() {
        return !position.equals(Position.NONE);
    }

    /**
     * Returns whether a copy of another VM is needed: the store is unavailable and no list was ever
     * received.
     *
     * @return true if a copy would be used
     */
    public boolean needsCopy() {
        return unavailable && !hasState() && !stopped;
    }

    /**
     * Offers a copy of another VM. The listener receives it as a list; calls to the store continue,
     * and their first list replaces it.
     *
     * @param copy the copy, a complete list
     * @return false if it is incomplete, of a former era, or not later than what was received
     */
    public boolean offerCopy(final Page<T> copy) {
        if (stopped
                || copy.next().isPresent()
                || !CopyTerms.replaces(position, readFromStore, copy.position())
                || !mayBeOfCurrentEra(copy.position())) {
            return false;
        }
        position = copy.position();
        deliverAll(copy.values());
        listener.onPosition(position);
        return true;
    }

    /**
     * Returns whether a copy may be used beside what the store returned. Only results of the store
     * raise the era: a copy with a wrong one would make every later result of the store one of a
     * former era.
     */
    private boolean mayBeOfCurrentEra(final Position copy) {
        return eras.era() == Position.NONE.era() || eras.era() == copy.era();
    }

    /** Starts with a list. */
    public void start() {
        started = true;
        restart();
    }

    private void onNewEra() {
        listener.onStoreRestored();
        if (started) {
            restart();
        }
    }

    /**
     * Lists the objects concurrently with the watch, so that the listener receives the current
     * state at once. Does nothing while such a list is pending.
     */
    public void refresh() {
        if (refreshing || stopped) {
            return;
        }
        refreshing = true;
        store.list(kind, Optional.empty(), this::onRefreshed);
    }

    private void onRefreshed(final StoreResult<Page<T>> result) {
        refreshing = false;
        // Failures and lists of several pages are left to the watch, which lists again on failure.
        // So are lists older than what the watch has brought meanwhile.
        if (result instanceof StoreResult.Done<Page<T>> done
                && done.value().next().isEmpty()
                && isCurrentEra(done.value())
                && !(readFromStore && position.isAfter(done.value().position()))) {
            replaceCopyOfOtherEra(done.value().position());
            position = done.value().position();
            readFromStore = true;
            keeper.onList(List.of(done.value().text()), position);
            deliverAll(done.value().values());
            listener.onPosition(position);
        }
    }

    /**
     * Returns whether a page is of the era that this follower has listed. A page of a newer era
     * makes all followers list again, including this one.
     */
    private boolean isCurrentEra(final Page<T> page) {
        final int roundBefore = round;
        return eras.offer(page.position(), kind) && round == roundBefore;
    }

    /** Stops following; pending calls are not cancelled. */
    public void stop() {
        stopped = true;
    }

    private void restart() {
        if (!stopped) {
            round++;
            positionBeforeList = position;
            listed.clear();
            listedTexts.clear();
            list(Optional.empty());
        }
    }

    private void list(final Optional<String> after) {
        final int callRound = round;
        store.list(
                kind,
                after,
                result -> {
                    if (callRound == round) {
                        orRetry(() -> onListed(result));
                    }
                });
    }

    private void onListed(final StoreResult<Page<T>> result) {
        if (!(result instanceof StoreResult.Done<Page<T>> done)) {
            retry(describe(result));
            onListFailed();
            return;
        }
        final Page<T> page = done.value();
        if (!isCurrentEra(page)) {
            retryIfFormerEra(page);
            return;
        }
        onSuccess();
        listed.addAll(page.values());
        listedTexts.add(page.text());
        if (page.next().isPresent()) {
            list(page.next());
            return;
        }
        if (position.isAfter(positionBeforeList)
                && position.isAfter(page.position())
                && position.era() == page.position().era()) {
            // A list refreshed meanwhile is newer than this one.
            restart();
            return;
        }
        replaceCopyOfOtherEra(page.position());
        position = page.position();
        readFromStore = true;
        keeper.onList(List.copyOf(listedTexts), position);
        listedTexts.clear();
        deliverAll(List.copyOf(listed));
        listed.clear();
        listener.onPosition(position);
        watchAfter(pace.get().listPause());
    }

    /**
     * Lets the listener accept a list whose positions are before those of a copy. Copies do not
     * raise the era, so the tracker does not report the difference.
     */
    private void replaceCopyOfOtherEra(final Position read) {
        if (!readFromStore && hasState() && position.era() != read.era()) {
            listener.onStoreRestored();
        }
    }

    /** A lagging relay returned a result of a former era; lists again after a backoff. */
    private void retryIfFormerEra(final Page<T> page) {
        if (eras.isOfFormerEra(page.position())) {
            logStaleResult(page);
            retry("result of a former era");
        }
    }

    private void logStaleResult(final Page<T> page) {
        EventLog.write(Event.STALE_RESPONSE, "kind", kind, "has", position, "got", page.position());
    }

    private void watch() {
        if (stopped) {
            return;
        }
        final int callRound = round;
        final Position since = position;
        store.watch(
                kind,
                since,
                pace.get().watchTime(),
                result -> {
                    if (callRound == round) {
                        orRetry(() -> onWatched(since, result));
                    }
                });
    }

    private void watchAfter(final Duration wait) {
        if (wait.isZero()) {
            watch();
            return;
        }
        final int callRound = round;
        loop.schedule(
                () -> {
                    if (callRound == round) {
                        watch();
                    }
                },
                wait.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void onWatched(final Position since, final StoreResult<Page<T>> result) {
        if (result instanceof StoreResult.HistoryGone<Page<T>>) {
            EventLog.write(Event.HISTORY_GONE, "kind", kind, "revision", position);
            restart();
            return;
        }
        if (result instanceof StoreResult.TooLarge<Page<T>>) {
            // A list returns only the current state. A watch returns every intermediate version,
            // which would make a VM with a slow link fall further behind.
            restart();
            return;
        }
        if (!(result instanceof StoreResult.Done<Page<T>> done)) {
            retry(describe(result));
            return;
        }
        final Page<T> page = done.value();
        if (!isCurrentEra(page)) {
            retryIfFormerEra(page);
            return;
        }
        onSuccess();
        if (since.isAfter(page.position())) {
            logStaleResult(page);
            restart();
            return;
        }
        if (position.isAfter(since)) {
            // A list was refreshed meanwhile; this page may repeat what came before it.
            watch();
            return;
        }
        position = page.position();
        keeper.onChanges(page);
        page.values().forEach(this::deliverChange);
        listener.onPosition(position);
        if (page.values().isEmpty()) {
            watch();
        } else {
            watchAfter(pace.get().pause());
        }
    }

    private void deliverAll(final List<StoredValue<T>> values) {
        final List<StoredValue<T>> valid = new ArrayList<>();
        final List<StoredValue<T>> invalid = new ArrayList<>();
        values.forEach(value -> (value.problem().isEmpty() ? valid : invalid).add(value));
        malformed.retain(values);
        valid.forEach(malformed::update);
        listener.onAll(valid);
        invalid.forEach(this::deliverMalformed);
    }

    private void deliverChange(final StoredValue<T> value) {
        if (value.problem().isPresent()) {
            deliverMalformed(value);
        } else {
            malformed.update(value);
            listener.onChange(value);
        }
    }

    private void deliverMalformed(final StoredValue<T> value) {
        malformed.update(value);
        listener.onMalformed(value);
    }

    private void onSuccess() {
        if (failures > 0) {
            EventLog.write(
                    Event.STORE_RECOVERED,
                    "kind",
                    kind,
                    "failed_calls",
                    failures,
                    "was_away",
                    unavailable);
            failures = 0;
            unavailable = false;
            listener.onStoreAvailable();
        }
    }

    private void onListFailed() {
        if (!unavailable) {
            unavailable = true;
            EventLog.write(Event.STORE_UNAVAILABLE, "kind", kind, "revision", position);
            listener.onStoreUnavailable();
        }
    }

    private void retry(final String detail) {
        failures++;
        if (failures == 1) {
            EventLog.write(
                    Event.STORE_CALL_FAILED, "kind", kind, "revision", position, "detail", detail);
            listener.onStoreCallFailed();
        }
        final long maxDelayMillis =
                Math.min(
                        pace.get().maxBackoff().toMillis(),
                        FIRST_BACKOFF_MILLIS << Math.min(failures - 1, 10));
        // Lists again instead of resuming the watch: the store may have dropped the changes since
        // the failed watch, and a resumed watch would miss them.
        final int failedRound = round;
        loop.schedule(
                () -> {
                    if (failedRound == round) {
                        restart();
                    }
                },
                1 + random.nextLong(maxDelayMillis),
                TimeUnit.MILLISECONDS);
    }

    /** Handles a result; a listener that fails on one must not end the calls after it. */
    private void orRetry(final Runnable handling) {
        final int handledRound = round;
        try {
            handling.run();
            unhandled = 0;
        } catch (final RuntimeException | Error e) {
            EventLog.write(Event.INTERNAL_ERROR, "task", "follower of " + kind, "error", e);
            if (handledRound == round) {
                // The call itself succeeded, which has reset the backoff.
                failures = Math.max(failures, unhandled);
                unhandled++;
                retry(e.toString());
            }
        }
    }

    private static String describe(final StoreResult<?> result) {
        return result instanceof StoreResult.Unavailable<?> failure
                ? failure.detail()
                : result.getClass().getSimpleName();
    }
}
