package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.history.Position;
import org.fennelstage.store.EraTracker;
import org.fennelstage.store.Follower;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.Page;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;
import org.fennelstage.store.WatchPace;
import org.junit.jupiter.api.Test;

/** Counts the store calls of a VM that starts while backend servers register, in simulated time. */
class StartingFleetTest {

    private static final long STEP_MILLIS = 10;
    private static final long STARTING_MILLIS = 3_000;

    /** Time between two registrations; milliseconds. */
    private static final long REGISTRATION_MILLIS = 80;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final AtomicInteger calls = new AtomicInteger();
    private final List<Consumer<StoreResult<Page<ServerEntry>>>> watches = new ArrayList<>();
    private long revision = 1;

    private final class CountingStore extends ManualStore {

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public <T> void list(
                final StoreKind<T> kind,
                final Optional<String> after,
                final Consumer<StoreResult<Page<T>>> callback) {
            calls.incrementAndGet();
            ((Consumer) callback).accept(page(List.of()));
        }

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public <T> void watch(
                final StoreKind<T> kind,
                final Position since,
                final Duration wait,
                final Consumer<StoreResult<Page<T>>> callback) {
            calls.incrementAndGet();
            if (since.revision() < revision) {
                ((Consumer) callback).accept(page(List.of(change())));
            } else {
                watches.add((Consumer) callback);
            }
        }
    }

    private StoreResult<Page<ServerEntry>> page(final List<StoredValue<ServerEntry>> values) {
        return new StoreResult.Done<>(
                new Page<>(values, Optional.empty(), Position.of(0, revision)));
    }

    private StoredValue<ServerEntry> change() {
        return new StoredValue<>(
                "i-" + revision, Position.of(0, revision), Optional.empty(), Optional.empty());
    }

    private int callsWhileStarting(final WatchPace pace) {
        channel.freezeTime();
        new Follower<>(
                        channel.eventLoop(),
                        new CountingStore(),
                        StoreKind.SERVERS,
                        () -> pace,
                        new Random(1),
                        EraTracker.empty(),
                        new IgnoringListener())
                .start();
        for (long now = 0; now < STARTING_MILLIS; now += STEP_MILLIS) {
            if (now % REGISTRATION_MILLIS == 0) {
                register();
            }
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
        return calls.get();
    }

    private void register() {
        revision++;
        final List<Consumer<StoreResult<Page<ServerEntry>>>> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(watch -> watch.accept(page(List.of(change()))));
    }

    private static final class IgnoringListener implements Follower.Listener<ServerEntry> {

        @Override
        public void onAll(final List<StoredValue<ServerEntry>> values) {}

        @Override
        public void onChange(final StoredValue<ServerEntry> value) {}
    }

    /** Guards against a call by every VM for nearly each registration while a fleet starts. */
    @Test
    void startingPaceLimitsCalls() {
        assertThat(callsWhileStarting(StoreWatches.STARTING_SERVER_PACE)).isLessThanOrEqualTo(5);
    }

    @Test
    void usualPaceCausesMoreThanTwiceAsManyCalls() {
        assertThat(callsWhileStarting(StoreWatches.SERVER_PACE)).isGreaterThan(12);
    }
}
