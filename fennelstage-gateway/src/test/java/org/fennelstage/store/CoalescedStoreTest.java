package org.fennelstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.fennelstage.history.Position;
import org.junit.jupiter.api.Test;

class CoalescedStoreTest {

    private static final StoreResult<Page<VmEntry>> PAGE =
            new StoreResult.Done<>(new Page<>(List.of(), Optional.empty(), Position.of(0, 7)));
    private static final StoreResult<Page<VmEntry>> UNAVAILABLE =
            new StoreResult.Unavailable<>(false, "503");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ManualStore direct = new ManualStore();
    private final ManualStore firstRelay = new ManualStore();
    private final ManualStore secondRelay = new ManualStore();
    private final List<Store> relays = new ArrayList<>(List.of(firstRelay, secondRelay));
    private final List<StoreResult<Page<VmEntry>>> results = new ArrayList<>();
    private final CoalescedStore store =
            new CoalescedStore(direct, () -> relays, () -> Duration.ofSeconds(3), now::get);

    private void list() {
        store.list(StoreKind.VMS, Optional.empty(), results::add);
    }

    private void watch() {
        store.watch(StoreKind.VMS, Position.of(0, 7), Duration.ofSeconds(10), results::add);
    }

    @Test
    void listsAndWatchesGoThroughTheFirstRelay() {
        list();
        watch();
        firstRelay.complete(PAGE);
        firstRelay.complete(PAGE);
        assertThat(results).containsExactly(PAGE, PAGE);
        assertThat(direct.pending()).isEmpty();
    }

    @Test
    void storeIsCalledDirectlyWithoutRelays() {
        relays.clear();
        list();
        watch();
        direct.complete(PAGE);
        direct.complete(PAGE);
        assertThat(results).containsExactly(PAGE, PAGE);
    }

    /** Guards against watches that keep waiting for a relay which hangs with open connections. */
    @Test
    void oneFailedCallFailsAllWatchesAtThatRelayAndTheNextRelayIsCalled() {
        watch();
        watch();
        firstRelay.complete(UNAVAILABLE);
        assertThat(results).hasSize(2).allMatch(r -> r instanceof StoreResult.Unavailable);
        list();
        secondRelay.complete(PAGE);
        assertThat(results).hasSize(3).last().isEqualTo(PAGE);
        assertThat(direct.pending()).isEmpty();
    }

    /** Guards against a second timeout, at the next relay, that exceeds the propagation delay. */
    @Test
    void afterARelayTimesOutListsGoToTheStoreAndWatchesToTheNextRelay() {
        store.watch(
                StoreKind.CONFIGURATION, Position.of(0, 7), Duration.ofSeconds(10), result -> {});
        now.addAndGet(2_500);
        firstRelay.complete(UNAVAILABLE);
        list();
        direct.complete(PAGE);
        assertThat(results).containsExactly(PAGE);
        watch();
        assertThat(secondRelay.pending()).hasSize(1);
        now.addAndGet(CoalescedStore.DIRECT_MILLIS);
        list();
        assertThat(secondRelay.pending()).hasSize(2);
    }

    /** Guards against all VMs switching relays when a configuration is too large to share. */
    @Test
    void resultTooLargeToShareIsListedAtTheStoreAndTheRelayStaysInUse() {
        final StoreResult<Page<VmEntry>> tooLarge = new StoreResult.TooLarge<>();
        watch();
        watch();
        firstRelay.complete(tooLarge);
        assertThat(results).containsExactly(tooLarge);
        assertThat(firstRelay.pending()).hasSize(1);
        list();
        direct.complete(PAGE);
        watch();
        now.addAndGet(CoalescedStore.DIRECT_MILLIS);
        list();
        assertThat(firstRelay.pending()).hasSize(3);
        firstRelay.complete(PAGE);
        firstRelay.complete(PAGE);
        firstRelay.complete(tooLarge);
        direct.complete(PAGE);
        assertThat(results).containsExactly(tooLarge, PAGE, PAGE, PAGE, PAGE);
        assertThat(secondRelay.pending()).isEmpty();
    }

    @Test
    void listThatFailsAtARelayIsRepeatedAtTheStore() {
        list();
        firstRelay.complete(UNAVAILABLE);
        assertThat(results).isEmpty();
        direct.complete(PAGE);
        assertThat(results).containsExactly(PAGE);
    }

    /** Guards against missed changes: after a failed watch the objects have to be listed again. */
    @Test
    void watchThatFailsAtARelayIsNotRepeated() {
        watch();
        firstRelay.complete(UNAVAILABLE);
        assertThat(direct.pending()).isEmpty();
        assertThat(secondRelay.pending()).isEmpty();
        assertThat(results).containsExactly(UNAVAILABLE);
    }

    @Test
    void failedRelayIsCalledAgainAfterAnIncreasingPause() {
        list();
        firstRelay.complete(UNAVAILABLE);
        now.addAndGet(CoalescedStore.PAUSE_MILLIS);
        list();
        firstRelay.complete(UNAVAILABLE);
        now.addAndGet(CoalescedStore.PAUSE_MILLIS);
        list();
        assertThat(secondRelay.pending()).hasSize(1);
        now.addAndGet(CoalescedStore.PAUSE_MILLIS);
        list();
        assertThat(firstRelay.pending()).hasSize(1);
    }

    /** The rest of the propagation delay is needed to detect a failed relay and to list again. */
    @Test
    void onlyTheWatchOnTheConfigurationIsShorterThanThePropagationDelay() {
        final List<Duration> waits = new ArrayList<>();
        final Store recording =
                new ManualStore() {
                    @Override
                    public <T> void watch(
                            final StoreKind<T> kind,
                            final Position since,
                            final Duration wait,
                            final Consumer<StoreResult<Page<T>>> callback) {
                        waits.add(wait);
                    }
                };
        for (final int seconds : List.of(3, 1)) {
            final CoalescedStore bounded =
                    new CoalescedStore(
                            direct,
                            () -> List.of(recording),
                            () -> Duration.ofSeconds(seconds),
                            now::get);
            bounded.watch(
                    StoreKind.CONFIGURATION,
                    Position.of(0, 7),
                    Duration.ofSeconds(10),
                    result -> {});
            bounded.watch(
                    StoreKind.SERVERS, Position.of(0, 7), Duration.ofSeconds(10), result -> {});
        }
        assertThat(waits)
                .containsExactly(
                        Duration.ofMillis(1_700),
                        Duration.ofSeconds(10),
                        Duration.ofMillis(500),
                        Duration.ofSeconds(10));
    }

    /** Guards against a second result from the late response to an abandoned watch. */
    @Test
    void everyWatchGetsOneResult() {
        watch();
        watch();
        firstRelay.complete(UNAVAILABLE);
        firstRelay.complete(PAGE);
        assertThat(results).hasSize(2);
    }
}
