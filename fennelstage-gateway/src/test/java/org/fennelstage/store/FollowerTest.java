package org.fennelstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.history.Position;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FollowerTest implements Follower.Listener<VmEntry> {

    /** A pending call, to be completed by the test. */
    private record Pending(String call, Consumer<StoreResult<Page<VmEntry>>> callback) {}

    /** Records each call as text. */
    private final class RecordingStore extends ManualStore {

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public <T> void list(
                final StoreKind<T> kind,
                final Optional<String> after,
                final Consumer<StoreResult<Page<T>>> callback) {
            calls.add(new Pending("list " + after.orElse("-"), (Consumer) callback));
        }

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public <T> void watch(
                final StoreKind<T> kind,
                final Position since,
                final Duration wait,
                final Consumer<StoreResult<Page<T>>> callback) {
            calls.add(new Pending("watch " + since.revision(), (Consumer) callback));
        }
    }

    private final BlockingQueue<Pending> calls = new LinkedBlockingQueue<>();
    private final List<String> received = new CopyOnWriteArrayList<>();
    private final EventLoop loop = new DefaultEventLoop();
    private final EraTracker eras = EraTracker.empty();
    private Optional<Throwable> failure = Optional.empty();
    private final Follower<VmEntry> follower =
            new Follower<>(
                    loop,
                    new RecordingStore(),
                    StoreKind.VMS,
                    () -> WatchPace.ofMillis(1_000, 1),
                    new Random(1),
                    eras,
                    this);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Override
    public void onAll(final List<StoredValue<VmEntry>> values) {
        failOnce();
        received.add("all " + values.stream().map(StoredValue::name).toList());
    }

    @Override
    public void onChange(final StoredValue<VmEntry> value) {
        failOnce();
        received.add((value.value().isPresent() ? "put " : "deleted ") + value.name());
    }

    private void failOnce() {
        final Optional<Throwable> due = failure;
        failure = Optional.empty();
        if (due.isPresent() && due.get() instanceof Error error) {
            throw error;
        }
        if (due.isPresent()) {
            throw (RuntimeException) due.get();
        }
    }

    @Override
    public void onStoreCallFailed() {
        received.add("call failed");
    }

    @Override
    public void onStoreUnavailable() {
        received.add("unavailable");
    }

    @Override
    public void onStoreAvailable() {
        received.add("available");
    }

    @Override
    public void onStoreRestored() {
        received.add("restored");
    }

    @Test
    void listOfSeveralPagesIsDeliveredOnceAndWatchedFromItsRevision() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.of("b"), 5, entry("a", 1), entry("b", 2)));
        complete("list b", page(Optional.empty(), 6, entry("c", 3)));
        complete("watch 6", page(Optional.empty(), 9, deleted("a", 8)));
        expect("watch 9");
        assertThat(received).containsExactly("all [a, b, c]", "deleted a");
    }

    /** Guards against a list that is followed no more after the listener failed on a result. */
    @Test
    void aResultThatTheListenerFailsOnIsListedAgain() throws InterruptedException {
        follower.start();
        failure = Optional.of(new IllegalStateException("unexpected"));
        complete("list -", page(Optional.empty(), 5, entry("a", 1)));
        failure = Optional.of(new OutOfMemoryError("Java heap space"));
        complete("list -", page(Optional.empty(), 5, entry("a", 1)));
        complete("list -", page(Optional.empty(), 5, entry("a", 1)));
        failure = Optional.of(new IllegalStateException("unexpected"));
        complete("watch 5", page(Optional.empty(), 6, deleted("a", 6)));
        complete("list -", page(Optional.empty(), 6, entry("b", 6)));
        expect("watch 6");
        assertThat(received).contains("all [a]", "all [b]");
    }

    /**
     * Guards against keeping the copy of another VM once the store responds, and against replacing
     * what the store returned by a copy, also by one that claims a later position.
     */
    @Test
    void aCopyIsUsedUntilTheFirstListAndNeverAfterIt() throws InterruptedException {
        final Page<VmEntry> copy =
                new Page<>(List.of(entry("a", 1)), Optional.empty(), Position.of(0, 50));
        follower.start();
        assertThat(follower.needsCopy()).isFalse();
        complete("list -", new StoreResult.Unavailable<>(false, "partition"));
        final Pending next = calls.poll(10, TimeUnit.SECONDS);
        assertThat(follower.needsCopy()).isTrue();
        assertThat(follower.offerCopy(copy)).isTrue();
        assertThat(follower.offerCopy(copy)).isFalse();
        assertThat(follower.needsCopy()).isFalse();
        next.callback().accept(page(Optional.empty(), 60, entry("b", 55)));
        expect("watch 60");
        assertThat(follower.offerCopy(new Page<>(List.of(), Optional.empty(), Position.of(0, 99))))
                .isFalse();
        assertThat(received)
                .containsExactly("call failed", "unavailable", "all [a]", "available", "all [b]");
    }

    /** Guards against ignoring the store for good after a copy with a wrong, later era. */
    @Test
    void aCopyOfALaterEraDoesNotMakeTheStoresResultsOutdated() throws InterruptedException {
        final Page<VmEntry> copy =
                new Page<>(List.of(), Optional.empty(), Position.of(1_000_000, 1_000));
        follower.start();
        assertThat(follower.offerCopy(copy)).isTrue();
        assertThat(eras.era()).isEqualTo(Position.NONE.era());
        complete("list -", page(Optional.empty(), 5, entry("a", 1)));
        expect("watch 5");
        assertThat(received).containsExactly("all []", "restored", "all [a]");
    }

    /** Guards against a copy of another era beside what the store returned about other kinds. */
    @Test
    void aCopyOfAnotherEraThanTheStoresIsRefused() {
        eras.offer(Position.of(2, 3), StoreKind.SERVERS);
        for (final long era : List.of(1L, 3L)) {
            assertThat(
                            follower.offerCopy(
                                    new Page<>(List.of(), Optional.empty(), Position.of(era, 9))))
                    .isFalse();
        }
        assertThat(eras.era()).isEqualTo(2);
    }

    /** Guards against listing without end if a copy claims a later position than the store has. */
    @Test
    void aCopyThatClaimsALaterPositionIsReplacedByTheSecondList() throws InterruptedException {
        follower.start();
        assertThat(
                        follower.offerCopy(
                                new Page<>(List.of(), Optional.empty(), Position.of(0, 1_000))))
                .isTrue();
        complete("list -", page(Optional.empty(), 5, entry("a", 1)));
        complete("list -", page(Optional.empty(), 5, entry("a", 1)));
        expect("watch 5");
        assertThat(received).containsExactly("all []", "all [a]");
    }

    /** Guards against missed changes when the store drops its history together with its watches. */
    @Test
    void objectsAreListedAgainAfterAFailure() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 5));
        complete("watch 5", new StoreResult.Unavailable<>(false, "reset"));
        complete("list -", page(Optional.empty(), 7, entry("a", 7)));
        expect("watch 7");
        assertThat(received).containsExactly("all []", "call failed", "available", "all [a]");
    }

    @Test
    void onlyAFailedListReportsTheStoreUnavailableAndOnlyOnce() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 5));
        complete("watch 5", new StoreResult.Unavailable<>(false, "relay failed"));
        complete("list -", new StoreResult.Unavailable<>(false, "503"));
        complete("list -", new StoreResult.Unavailable<>(false, "503"));
        complete("list -", page(Optional.empty(), 7, entry("a", 7)));
        complete("watch 7", new StoreResult.Unavailable<>(false, "503"));
        complete("list -", new StoreResult.Unavailable<>(false, "503"));
        expect("list -");
        assertThat(received)
                .containsExactly(
                        "all []",
                        "call failed",
                        "unavailable",
                        "available",
                        "all [a]",
                        "call failed",
                        "unavailable");
    }

    /** Guards against a VM with a slow link that falls behind by watching every version. */
    @Test
    void watchResultThatIsTooLargeIsListedAtOnceAndIsNoFailure() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 5));
        complete("watch 5", new StoreResult.TooLarge<>());
        complete("list -", page(Optional.empty(), 9, entry("a", 9)));
        expect("watch 9");
        assertThat(received).containsExactly("all []", "all [a]");
    }

    @Test
    void objectsAreListedAtOnceWhenTheHistoryIsGone() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 5));
        complete("watch 5", new StoreResult.HistoryGone<>());
        expect("list -");
        assertThat(received).containsExactly("all []");
    }

    /** Guards against an older state replacing a newer one. */
    @Test
    void resultOlderThanTheKnownPositionIsNotDelivered() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 5));
        complete("watch 5", page(Optional.empty(), 4, entry("a", 3)));
        expect("list -");
        assertThat(received).containsExactly("all []");
    }

    @Test
    void malformedObjectDoesNotHideOthers() throws InterruptedException {
        follower.start();
        final StoredValue<VmEntry> malformed =
                new StoredValue<>(
                        "x", Position.of(0, 4), Optional.empty(), Optional.of("no address"));
        complete("list -", page(Optional.empty(), 5, malformed, entry("a", 3)));
        expect("watch 5");
        assertThat(received).containsExactly("all [a]");
    }

    @Test
    void refreshedListThatIsNotOlderIsPassedOn() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 100));
        final Pending watch = expect("watch 100");
        refresh();
        complete("list -", page(Optional.empty(), 100));
        refresh();
        complete("list -", page(Optional.empty(), 101, entry("a", 101)));
        complete(watch, page(Optional.empty(), 103, entry("b", 103)));
        complete("watch 101", page(Optional.empty(), 103, entry("b", 103)));
        expect("watch 103");
        assertThat(received).containsExactly("all []", "all []", "all [a]", "put b");
    }

    /** Guards against an older list that replaces newer changes, which no watch repeats. */
    @Test
    void refreshedListOlderThanAChangeOfTheWatchIsNotDelivered() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 100));
        final Pending watch = expect("watch 100");
        refresh();
        final Pending list = expect("list -");
        complete(watch, page(Optional.empty(), 103, entry("a", 103)));
        complete(list, page(Optional.empty(), 101, entry("b", 101)));
        expect("watch 103");
        assertThat(received).containsExactly("all []", "put a");
    }

    /** Guards against a pending watch that repeats changes from before a refreshed list. */
    @Test
    void changesThatARefreshedListIncludesAreNotDelivered() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 100));
        final Pending watch = expect("watch 100");
        refresh();
        complete("list -", page(Optional.empty(), 110, entry("b", 110)));
        complete(watch, page(Optional.empty(), 103, entry("a", 103)));
        complete("watch 110", page(Optional.empty(), 111, deleted("b", 111)));
        expect("watch 111");
        assertThat(received).containsExactly("all []", "all [b]", "deleted b");
    }

    @Test
    void changesAfterARefreshedListAreDeliveredOnceThoughAWatchBeganBeforeIt()
            throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 100));
        final Pending watch = expect("watch 100");
        refresh();
        complete("list -", page(Optional.empty(), 110));
        complete(
                watch,
                page(
                        Optional.empty(),
                        112,
                        entry("a", 103),
                        deleted("a", 110),
                        entry("b", 111),
                        entry("c", 112)));
        assertThat(received).doesNotContain("put a", "deleted a");
        complete("watch 110", page(Optional.empty(), 112, entry("b", 111), entry("c", 112)));
        expect("watch 112");
        assertThat(received).containsExactly("all []", "all []", "put b", "put c");
    }

    /** Guards against a slow first list, or one after a failure, that undoes a refreshed list. */
    @Test
    void listOlderThanOneRefreshedMeanwhileIsRepeated() throws InterruptedException {
        follower.start();
        final Pending list = expect("list -");
        refresh();
        complete("list -", page(Optional.empty(), 110, entry("a", 110)));
        complete(list, page(Optional.empty(), 101));
        complete("list -", page(Optional.empty(), 111, entry("a", 110), entry("b", 111)));
        expect("watch 111");
        assertThat(received).containsExactly("all [a]", "all [a, b]");
    }

    private void refresh() throws InterruptedException {
        loop.submit(follower::refresh).sync();
    }

    private void complete(final String call, final StoreResult<Page<VmEntry>> result)
            throws InterruptedException {
        complete(expect(call), result);
    }

    private void complete(final Pending pending, final StoreResult<Page<VmEntry>> result)
            throws InterruptedException {
        loop.submit(() -> pending.callback().accept(result)).sync();
    }

    private Pending expect(final String call) throws InterruptedException {
        final Pending pending = calls.poll(10, TimeUnit.SECONDS);
        assertThat(pending).isNotNull();
        assertThat(pending.call()).isEqualTo(call);
        return pending;
    }

    @SafeVarargs
    private static StoreResult<Page<VmEntry>> page(
            final Optional<String> next,
            final long revision,
            final StoredValue<VmEntry>... values) {
        return new StoreResult.Done<>(new Page<>(List.of(values), next, Position.of(0, revision)));
    }

    private static StoredValue<VmEntry> entry(final String name, final long revision) {
        final VmEntry vm =
                new VmEntry(VmId.of(name), DataCentreId.of("dc-a"), new ServerAddress("h", 1));
        return new StoredValue<>(name, Position.of(0, revision), Optional.of(vm), Optional.empty());
    }

    private static StoredValue<VmEntry> deleted(final String name, final long revision) {
        return new StoredValue<>(
                name, Position.of(0, revision), Optional.empty(), Optional.empty());
    }

    /**
     * Guards against missed changes when a store that was restored from an older copy assigns the
     * watched revision again.
     */
    @Test
    void watchResultOfANewerEraIsDiscardedAndObjectsAreListedAgain() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 5));
        complete("watch 5", laterPage(7, entry("a", 7)));
        complete("list -", laterPage(7, entry("a", 7), entry("b", 4)));
        expect("watch 7");
        assertThat(received).containsExactly("all []", "restored", "all [a, b]");
    }

    /** The first result of a new era from any call makes every follower list again at once. */
    @Test
    void newEraFromAnotherCallEndsThePendingWatch() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.empty(), 5));
        final Pending watch = expect("watch 5");
        loop.submit(() -> eras.offer(Position.of(1, 3), StoreKind.SERVERS)).sync();
        complete("list -", laterPage(4));
        loop.submit(() -> watch.callback().accept(page(Optional.empty(), 9, entry("x", 9)))).sync();
        expect("watch 4");
        assertThat(received).containsExactly("all []", "restored", "all []");
    }

    /** Guards against a relay that returns a result from before the store was restored. */
    @Test
    void listIsRepeatedAfterAResultOfAFormerEra() throws InterruptedException {
        follower.start();
        complete("list -", laterPage(5));
        complete("watch 5", page(Optional.empty(), 9, entry("a", 9)));
        complete("list -", page(Optional.empty(), 9, entry("a", 9)));
        complete("list -", laterPage(6, entry("b", 6)));
        expect("watch 6");
        assertThat(received).containsExactly("all []", "call failed", "available", "all [b]");
    }

    @Test
    void listOfSeveralPagesIsRestartedWhenTheEraChangesBetweenPages() throws InterruptedException {
        follower.start();
        complete("list -", page(Optional.of("b"), 5, entry("a", 1), entry("b", 2)));
        complete("list b", laterPage(4, entry("c", 3)));
        complete("list -", laterPage(4, entry("c", 3)));
        expect("watch 4");
        assertThat(received).containsExactly("restored", "all [c]");
    }

    @SafeVarargs
    private static StoreResult<Page<VmEntry>> laterPage(
            final long revision, final StoredValue<VmEntry>... values) {
        return new StoreResult.Done<>(
                new Page<>(List.of(values), Optional.empty(), Position.of(1, revision)));
    }
}
