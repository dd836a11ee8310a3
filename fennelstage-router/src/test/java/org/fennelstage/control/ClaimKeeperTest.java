package org.fennelstage.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fennelstage.claim.Claim;
import org.fennelstage.claim.ClaimChange;
import org.fennelstage.claim.ClaimSegment;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.Test;

/**
 * Runs keepers against a store with injected faults in generated interleavings, and checks the
 * invariants of spec/claims.als: a key runs at most once, and a request that releases its claim
 * never runs.
 */
class ClaimKeeperTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int KEYS = 3;

    /** One request for a key: it runs if its claim is made before it gives up. */
    private static final class KeyRequest {
        private final RequestId id;
        private final String key;
        private CompletableFuture<ClaimResult> future;
        private boolean gaveUp;
        private boolean ran;

        KeyRequest(final int number, final int key) {
            this.id = RequestId.of("request-" + number);
            this.key = "key-" + key;
        }

        void observe() {
            final boolean isMade = future.isDone() && future.join() instanceof ClaimResult.Made;
            if (!gaveUp && isMade) {
                ran = true;
            }
        }
    }

    @Property(seed = "61", tries = 400)
    void keyRunsAtMostOnceUnderInjectedFaults(@ForAll final long seed) {
        final Scenario scenario = new Scenario(seed);
        scenario.performSteps(120);
        scenario.completePending();
        scenario.assertInvariants();
    }

    /** Guards against keys that run again after their segment is sealed. */
    @Property(seed = "62", tries = 5)
    void keysInSealedSegmentsRunAtMostOnce(@ForAll final long seed) {
        final Scenario scenario = new Scenario(seed);
        scenario.performManyKeys(2 * ClaimSegment.CAPACITY + 50);
        scenario.completePending();
        scenario.assertInvariants();
    }

    /**
     * Guards against an endless loop of conditional writes when the store was restored from an
     * older copy and the keeper's cached revision is ahead of it.
     */
    @Test
    void keeperReloadsTheLogAfterTheStoreWasRestoredFromAnOlderCopy() {
        final FaultyStore before = new FaultyStore(new Random(1));
        final FaultyStore after = new FaultyStore(new Random(1));
        before.disableFaults();
        after.disableFaults();
        final SwitchingStore store = new SwitchingStore(before);
        final ManualScheduler timer = new ManualScheduler(Instant.ofEpochMilli(1_000_000));
        final ClaimKeeper keeper =
                new ClaimKeeper(store, timer, timer, new SplittableRandom(1), TIMEOUT);
        final CompletableFuture<ClaimResult> first = keeper.submit(0, held("first"));
        drain(before, timer);
        assertThat(first.join()).isInstanceOf(ClaimResult.Made.class);

        store.switchTo(after);
        final CompletableFuture<ClaimResult> second = keeper.submit(0, held("second"));
        drain(after, timer);
        assertThat(second).isDone();
        assertThat(second.join()).isInstanceOf(ClaimResult.Made.class);
        assertThat(store.writes()).isLessThanOrEqualTo(4);
    }

    private static ClaimChange held(final String key) {
        return new ClaimChange(
                key, new Claim(RequestId.of(key), VmId.of("vm"), Claim.State.HELD, 1));
    }

    private static void drain(final FaultyStore store, final ManualScheduler timer) {
        for (int i = 0; i < 200; i++) {
            store.step();
            timer.advance(Duration.ofMillis(5));
        }
    }

    private static final class Scenario {
        private final Random random;
        private final FaultyStore store;
        private final ManualScheduler timer = new ManualScheduler(Instant.ofEpochMilli(1_000_000));
        private final List<ClaimKeeper> keepers = new ArrayList<>();
        private final List<KeyRequest> requests = new ArrayList<>();

        Scenario(final long seed) {
            random = new Random(seed);
            store = new FaultyStore(random);
            for (int i = 0; i < 2; i++) {
                keepers.add(keeper(i));
            }
        }

        void performSteps(final int steps) {
            for (int i = 0; i < steps; i++) {
                final int choice = random.nextInt(10);
                if (choice < 2 && requests.size() < 12) {
                    takeClaim(random.nextInt(KEYS));
                } else if (choice == 2 && !requests.isEmpty()) {
                    giveUp(requests.get(random.nextInt(requests.size())));
                } else if (choice == 3) {
                    timer.advance(Duration.ofMillis(random.nextInt(400)));
                } else if (choice == 4 && random.nextInt(10) == 0) {
                    // A VM is replaced and its keeper's cache is lost.
                    final int index = random.nextInt(keepers.size());
                    keepers.set(index, keeper(100 + i));
                } else {
                    store.step();
                }
                requests.forEach(KeyRequest::observe);
            }
        }

        void performManyKeys(final int keys) {
            for (int key = 0; key < keys; key++) {
                takeClaim(key);
                takeClaim(key);
                for (int i = 0; i < 4; i++) {
                    store.step();
                }
                requests.forEach(KeyRequest::observe);
            }
        }

        void completePending() {
            store.disableFaults();
            for (int i = 0; i < 4000 && (store.hasPending() || timer.hasPending()); i++) {
                store.step();
                timer.advance(Duration.ofMillis(50));
                requests.forEach(KeyRequest::observe);
            }
        }

        void assertInvariants() {
            final Map<String, Integer> runs = new HashMap<>();
            final Set<RequestId> ran = new HashSet<>();
            for (final KeyRequest request : requests) {
                assertThat(request.future).isDone();
                if (request.ran) {
                    runs.merge(request.key, 1, Integer::sum);
                    ran.add(request.id);
                }
            }
            assertThat(runs.values()).allMatch(n -> n == 1);
            requests.stream()
                    .filter(a -> a.gaveUp)
                    .forEach(a -> assertThat(ran).doesNotContain(a.id));
        }

        private void takeClaim(final int key) {
            final KeyRequest request = new KeyRequest(requests.size(), key);
            request.future = submit(request, Claim.State.HELD);
            requests.add(request);
        }

        private void giveUp(final KeyRequest request) {
            if (!request.ran && !request.gaveUp) {
                request.gaveUp = true;
                submit(request, Claim.State.RELEASED);
            }
        }

        private CompletableFuture<ClaimResult> submit(
                final KeyRequest request, final Claim.State state) {
            final Claim claim = new Claim(request.id, VmId.of("vm"), state, 1);
            final ClaimKeeper keeper = keepers.get(random.nextInt(keepers.size()));
            return keeper.submit(0, new ClaimChange(request.key, claim));
        }

        private ClaimKeeper keeper(final int seed) {
            return new ClaimKeeper(store, timer, timer, new SplittableRandom(seed), TIMEOUT);
        }
    }
}
