package org.fennelstage.copy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.fennelstage.history.Position;
import org.fennelstage.startup.CopyRequests;
import org.fennelstage.store.EraTracker;
import org.fennelstage.store.Follower;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.Page;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;
import org.fennelstage.store.WatchPace;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A starting VM beside two VMs that give copies until the test stops them. */
class CopyCollectorTest {

    private static final List<StoreKind<?>> KINDS =
            List.of(StoreKind.QUARANTINE, StoreKind.ROLLOUTS, StoreKind.SERVERS);

    /** Fails each list at once while the store is unavailable. */
    private final class FailingStore extends ManualStore {
        @Override
        public <T> void list(
                final StoreKind<T> kind,
                final Optional<String> after,
                final Consumer<StoreResult<Page<T>>> callback) {
            if (storeUnavailable) {
                callback.accept(new StoreResult.Unavailable<>(false, "partition"));
            } else {
                super.list(kind, after, callback);
            }
        }
    }

    private static final InetSocketAddress FIRST = InetSocketAddress.createUnresolved("first", 1);
    private static final InetSocketAddress SECOND = InetSocketAddress.createUnresolved("second", 1);

    private final EventLoop loop = new DefaultEventLoop();
    private final EraTracker eras = EraTracker.empty();
    private final AtomicLong now = new AtomicLong();
    private final List<String> asked = new ArrayList<>();
    private final Set<InetSocketAddress> stopped = new HashSet<>();
    private final List<Follower<?>> followers = new ArrayList<>();
    private boolean storeUnavailable = true;
    private int copiesUntilFirstStops = Integer.MAX_VALUE;
    private final CopyCollector collector =
            new CopyCollector(
                    this::sourceAt,
                    () -> List.of(FIRST, SECOND),
                    new CopyRequests<>(bound -> 0),
                    now::get);

    @BeforeEach
    void follow() {
        KINDS.forEach(this::follow);
    }

    @AfterEach
    void stop() {
        followers.forEach(Follower::stop);
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private <T> void follow(final StoreKind<T> kind) {
        final Follower<T> follower =
                new Follower<>(
                        loop,
                        new FailingStore(),
                        kind,
                        () -> WatchPace.ofMillis(60_000, 60_000),
                        new Random(1),
                        eras,
                        new Follower.Listener<>() {
                            @Override
                            public void onAll(final List<StoredValue<T>> values) {}

                            @Override
                            public void onChange(final StoredValue<T> value) {}
                        });
        collector.add(kind, follower);
        followers.add(follower);
    }

    private CopySource sourceAt(final InetSocketAddress vm) {
        return new CopySource() {
            @Override
            public <T> void copy(final StoreKind<T> kind, final Consumer<Result<T>> callback) {
                asked.add(vm.getHostString() + " " + kind);
                if (vm.equals(FIRST) && asked.size() > copiesUntilFirstStops) {
                    stopped.add(FIRST);
                }
                callback.accept(
                        stopped.contains(vm)
                                ? new Refused<>("connection closed")
                                : new Given<>(
                                        new Page<>(List.of(), Optional.empty(), Position.of(1, 9)),
                                        Optional.of(Duration.ofMillis(5))));
            }
        };
    }

    private boolean hasAll() {
        return followers.stream().allMatch(Follower::hasState);
    }

    /** Guards against orders whose position does not cover the servers of the same VM. */
    @Test
    void serversAreAskedForBeforeRolloutOrders() {
        followers.forEach(Follower::start);
        collector.askDue();
        assertThat(asked).containsExactly("first servers", "first rollouts", "first quarantine");
        assertThat(hasAll()).isTrue();
        collector.askDue();
        assertThat(asked).hasSize(3);
        assertThat(collector.used()).isEqualTo(3);
    }

    /** Guards against losing what was received, or waiting, when the giving VM stops midway. */
    @Test
    void theNextVmGivesTheRestWhenTheFirstStopsMidway() {
        copiesUntilFirstStops = 1;
        followers.forEach(Follower::start);
        collector.askDue();
        now.addAndGet(300);
        collector.askDue();
        assertThat(asked)
                .containsExactly(
                        "first servers", "first rollouts", "second rollouts", "second quarantine");
        assertThat(hasAll()).isTrue();
    }

    /** Guards against calls to other VMs while the store can be reached. */
    @Test
    void nothingIsAskedWhileListsArePending() {
        storeUnavailable = false;
        followers.forEach(Follower::start);
        collector.askDue();
        assertThat(asked).isEmpty();
    }

    /** Guards against copies of a former era once a newer era is known. */
    @Test
    void aCopyOfAFormerEraIsNotUsed() {
        eras.offer(Position.of(2, 1), StoreKind.VMS);
        followers.forEach(Follower::start);
        collector.askDue();
        assertThat(asked).containsExactly("first servers");
        assertThat(followers).noneMatch(Follower::hasState);
    }
}
