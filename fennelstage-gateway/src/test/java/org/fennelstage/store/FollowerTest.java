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

    /** A call to the store, waiting for the test's answer. */
    private record Waiting(String call, Consumer<StoreResult<Page<VmEntry>>> answer) {}

    /** Keeps the calls in words. */
    private final class RecordingStore extends ManualStore {

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public <T> void list(
                final StoreKind<T> kind,
                final Optional<String> after,
                final Consumer<StoreResult<Page<T>>> answer) {
            calls.add(new Waiting("list " + after.orElse("-"), (Consumer) answer));
        }

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public <T> void watch(
                final StoreKind<T> kind,
                final Position since,
                final Duration wait,
                final Consumer<StoreResult<Page<T>>> answer) {
            calls.add(new Waiting("watch " + since.revision(), (Consumer) answer));
        }
    }

    private final BlockingQueue<Waiting> calls = new LinkedBlockingQueue<>();
    private final List<String> heard = new CopyOnWriteArrayList<>();
    private final EventLoop loop = new DefaultEventLoop();
    private final EraTracker eras = EraTracker.empty();
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
        heard.add("all " + values.stream().map(StoredValue::name).toList());
    }

    @Override
    public void onChange(final StoredValue<VmEntry> value) {
        heard.add((value.value().isPresent() ? "put " : "gone ") + value.name());
    }

    @Override
    public void onStoreCallFailed() {
        heard.add("lost");
    }

    @Override
    public void onStoreUnavailable() {
        heard.add("away");
    }

    @Override
    public void onStoreAvailable() {
        heard.add("back");
    }

    @Override
    public void onStoreRestored() {
        heard.add("replaced");
    }

    @Test
    void aListInPartsIsHeardAsOneAndThenWatchedFromItsRevision() throws InterruptedException {
        follower.start();
        answer("list -", page(Optional.of("b"), 5, entry("a", 1), entry("b", 2)));
        answer("list b", page(Optional.empty(), 6, entry("c", 3)));
        answer("watch 6", page(Optional.empty(), 9, gone("a", 8)));
        expect("watch 9");
        assertThat(heard).containsExactly("all [a, b, c]", "gone a");
    }

    /**
     * Symptom: a change is not in force ten seconds later. Events: the store cuts its watches and
     * drops its history; the watch that follows at once waits for changes after it. Cause: the
     * watch went on from the old revision after a failure.
     */
    @Test
    void afterAFailureTheObjectsAreListedAnew() throws InterruptedException {
        follower.start();
        answer("list -", page(Optional.empty(), 5));
        answer("watch 5", new StoreResult.Unavailable<>(false, "reset"));
        answer("list -", page(Optional.empty(), 7, entry("a", 7)));
        expect("watch 7");
        assertThat(heard).containsExactly("all []", "lost", "back", "all [a]");
    }

    @Test
    void onlyAListThatFailsTellsThatTheStoreIsAwayAndItIsToldOnce() throws InterruptedException {
        follower.start();
        answer("list -", page(Optional.empty(), 5));
        answer("watch 5", new StoreResult.Unavailable<>(false, "the VM that was asked failed"));
        answer("list -", new StoreResult.Unavailable<>(false, "503"));
        answer("list -", new StoreResult.Unavailable<>(false, "503"));
        answer("list -", page(Optional.empty(), 7, entry("a", 7)));
        answer("watch 7", new StoreResult.Unavailable<>(false, "503"));
        answer("list -", new StoreResult.Unavailable<>(false, "503"));
        expect("list -");
        assertThat(heard)
                .containsExactly("all []", "lost", "away", "back", "all [a]", "lost", "away");
    }

    /**
     * Symptom: a VM with a slow link has a configuration 4 s after the others. Events: a large one
     * changes several times a second; each watch brings all versions since the last, and takes so
     * long that the next has more to bring. Cause: what was too large to share was watched on.
     */
    @Test
    void whatIsTooLargeForAWatchIsListedAtOnceAndTheStoreIsNotLost() throws InterruptedException {
        follower.start();
        answer("list -", page(Optional.empty(), 5));
        answer("watch 5", new StoreResult.TooLarge<>());
        answer("list -", page(Optional.empty(), 9, entry("a", 9)));
        expect("watch 9");
        assertThat(heard).containsExactly("all []", "all [a]");
    }

    @Test
    void whenTheHistoryIsGoneTheObjectsAreListedAnewAtOnce() throws InterruptedException {
        follower.start();
        answer("list -", page(Optional.empty(), 5));
        answer("watch 5", new StoreResult.HistoryGone<>());
        expect("list -");
        assertThat(heard).containsExactly("all []");
    }

    /**
     * Symptom: configuration goes back. Events: an answer comes that is older than what is known.
     * Cause: the answer's revision was not compared.
     */
    @Test
    void anAnswerOlderThanWhatIsKnownIsNotHeard() throws InterruptedException {
        follower.start();
        answer("list -", page(Optional.empty(), 5));
        answer("watch 5", page(Optional.empty(), 4, entry("a", 3)));
        expect("list -");
        assertThat(heard).containsExactly("all []");
    }

    @Test
    void anObjectThatCannotBeUnderstoodHidesNoOther() throws InterruptedException {
        follower.start();
        final StoredValue<VmEntry> broken =
                new StoredValue<>(
                        "x", Position.of(0, 4), Optional.empty(), Optional.of("no address"));
        answer("list -", page(Optional.empty(), 5, broken, entry("a", 3)));
        expect("watch 5");
        assertThat(heard).containsExactly("all [a]");
    }

    private void answer(final String call, final StoreResult<Page<VmEntry>> answer)
            throws InterruptedException {
        final Waiting waiting = expect(call);
        loop.submit(() -> waiting.answer().accept(answer)).sync();
    }

    private Waiting expect(final String call) throws InterruptedException {
        final Waiting waiting = calls.poll(10, TimeUnit.SECONDS);
        assertThat(waiting).isNotNull();
        assertThat(waiting.call()).isEqualTo(call);
        return waiting;
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

    private static StoredValue<VmEntry> gone(final String name, final long revision) {
        return new StoredValue<>(
                name, Position.of(0, revision), Optional.empty(), Optional.empty());
    }

    /**
     * Symptom: a worker that left gets requests, a key that was taken away is served. Events: the
     * store comes back from a copy and gives the watched revision out again before the next watch.
     * Cause: the watch's answer looked like any other, and what changed before it was missed.
     */
    @Test
    void aWatchThatIsAnsweredInALaterEraIsNotHeardAndAllIsListedAnew() throws InterruptedException {
        follower.start();
        answer("list -", page(Optional.empty(), 5));
        answer("watch 5", laterPage(7, entry("a", 7)));
        answer("list -", laterPage(7, entry("a", 7), entry("b", 4)));
        expect("watch 7");
        assertThat(heard).containsExactly("all []", "replaced", "all [a, b]");
    }

    /** The first answer of a new era, whoever asked, makes every follower list anew at once. */
    @Test
    void aRiseOfTheEraSeenElsewhereEndsTheWatchThatWaits() throws InterruptedException {
        follower.start();
        answer("list -", page(Optional.empty(), 5));
        final Waiting watch = expect("watch 5");
        loop.submit(() -> eras.offer(Position.of(1, 3), StoreKind.SERVERS)).sync();
        answer("list -", laterPage(4));
        loop.submit(() -> watch.answer().accept(page(Optional.empty(), 9, entry("x", 9)))).sync();
        expect("watch 4");
        assertThat(heard).containsExactly("all []", "replaced", "all []");
    }

    /**
     * Symptom: a VM goes back to the state before the return. Events: it asks through a VM that
     * hands out an answer from before. Cause: the answer's era was not looked at.
     */
    @Test
    void anAnswerOfAnEraThatHasEndedIsAskedForAgain() throws InterruptedException {
        follower.start();
        answer("list -", laterPage(5));
        answer("watch 5", page(Optional.empty(), 9, entry("a", 9)));
        answer("list -", page(Optional.empty(), 9, entry("a", 9)));
        answer("list -", laterPage(6, entry("b", 6)));
        expect("watch 6");
        assertThat(heard).containsExactly("all []", "lost", "back", "all [b]");
    }

    @Test
    void aListInPartsThatTheReturnDividesIsBegunAnew() throws InterruptedException {
        follower.start();
        answer("list -", page(Optional.of("b"), 5, entry("a", 1), entry("b", 2)));
        answer("list b", laterPage(4, entry("c", 3)));
        answer("list -", laterPage(4, entry("c", 3)));
        expect("watch 4");
        assertThat(heard).containsExactly("replaced", "all [c]");
    }

    @SafeVarargs
    private static StoreResult<Page<VmEntry>> laterPage(
            final long revision, final StoredValue<VmEntry>... values) {
        return new StoreResult.Done<>(
                new Page<>(List.of(values), Optional.empty(), Position.of(1, revision)));
    }
}
