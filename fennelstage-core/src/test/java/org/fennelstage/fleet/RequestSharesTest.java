package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.Test;

class RequestSharesTest {

    private static final BackendServerId SERVER = BackendServerId.of("i-1");
    private static final long SECOND_MILLIS = 1_000;

    private static Set<VmId> vms(final int count) {
        final Set<VmId> vms = new HashSet<>();
        for (int i = 0; i < count; i++) {
            vms.add(VmId.of("vm-" + i));
        }
        return vms;
    }

    private static RequestShares shares(final VmId own, final Set<VmId> known) {
        final RequestShares shares = RequestShares.empty();
        final Set<VmId> others = new HashSet<>(known);
        others.remove(own);
        shares.onVms(own, others);
        return shares;
    }

    private static int sum(final Set<VmId> fleet, final int requests) {
        return fleet.stream().mapToInt(vm -> shares(vm, fleet).of(SERVER, requests)).sum();
    }

    @Property(tries = 200)
    void sharesOfAllVmsAddUpToTheRate(
            @ForAll @IntRange(min = 1, max = 300) final int vms,
            @ForAll @IntRange(min = 0, max = 60) final int requests) {
        assertThat(sum(vms(vms), requests)).isEqualTo(requests);
    }

    /** Guards against a VM without known peers that uses the whole warm-up rate. */
    @Test
    void vmWithUnknownPeersHasNoShare() {
        assertThat(RequestShares.empty().of(SERVER, 17)).isZero();
    }

    /** Bounds the overload by VMs that do not know all of their peers. */
    @Property(tries = 100)
    void vmsThatMissAThirdOfTheirPeersExceedTheRateByAtMostHalf(
            @ForAll @IntRange(min = 3, max = 120) final int count, @ForAll final long seed) {
        final int requests = 17;
        final int slack = 5;
        final Random random = new Random(seed);
        final Set<VmId> fleet = vms(count);
        int sum = 0;
        for (final VmId vm : fleet) {
            final List<VmId> others = new ArrayList<>(fleet);
            others.remove(vm);
            Collections.shuffle(others, random);
            final Set<VmId> known = new HashSet<>(others.subList(0, others.size() - count / 3));
            known.add(vm);
            sum += shares(vm, known).of(SERVER, requests);
        }
        assertThat(sum).isLessThanOrEqualTo((int) (requests * 1.5) + slack);
    }

    private static TrackedServer warmingUp(final AtomicLong now) {
        final ServerEntry entry =
                new ServerEntry(
                        Incarnation.of(SERVER),
                        ServiceName.of("models"),
                        new ServerAddress("10.0.0.1", 80),
                        DataCentreId.of("dc-a"),
                        "v1",
                        24,
                        false,
                        Duration.ofHours(1),
                        Position.of(0, 1));
        return TrackedServer.of(entry, now::get, Reachability.of(now::get));
    }

    /** Guards against VMs that together overload a restarted server. */
    @Property(tries = 40)
    void allVmsTogetherStayWithinTheRateInAnySecond(
            @ForAll @IntRange(min = 1, max = 120) final int count,
            @ForAll @IntRange(min = 1, max = 40) final int requests,
            @ForAll final long seed) {
        final AtomicLong now = new AtomicLong(1_000_000);
        final Random random = new Random(seed);
        final Set<VmId> fleet = vms(count);
        final List<TrackedServer> views = new ArrayList<>();
        final List<Integer> shares = new ArrayList<>();
        for (final VmId vm : fleet) {
            views.add(warmingUp(now));
            shares.add(shares(vm, fleet).of(SERVER, requests));
        }
        final Deque<Long> lastSecond = new ArrayDeque<>();
        for (int step = 0; step < 4_000; step++) {
            now.addAndGet(random.nextInt(3));
            final int vm = random.nextInt(count);
            if (views.get(vm).warmUpDelay(shares.get(vm)).isZero()) {
                views.get(vm).begin(0);
                lastSecond.addLast(now.get());
            }
            while (!lastSecond.isEmpty() && lastSecond.peekFirst() < now.get() - SECOND_MILLIS) {
                lastSecond.removeFirst();
            }
            assertThat(lastSecond).hasSizeLessThanOrEqualTo(requests);
        }
    }

    /** Guards against ignoring requests that were sent just before the warm-up began. */
    @Test
    void requestSentBeforeTheWarmUpCounts() {
        final AtomicLong now = new AtomicLong(1_000_000);
        final TrackedServer server = warmingUp(now);
        server.begin(0);
        assertThat(server.warmUpDelay(1))
                .isEqualTo(Duration.ofMillis(TrackedServer.WARM_UP_WINDOW_MILLIS));
        now.addAndGet(TrackedServer.WARM_UP_WINDOW_MILLIS);
        assertThat(server.warmUpDelay(1)).isZero();
    }

    @Test
    void vmWithoutAShareWaitsForTheEndOfTheWarmUp() {
        final AtomicLong now = new AtomicLong(1_000_000);
        final TrackedServer server = warmingUp(now);
        assertThat(server.warmUpDelay(0)).isEqualTo(Duration.ofHours(1));
        now.addAndGet(Duration.ofHours(1).toMillis());
        assertThat(server.warmUpLeft()).isZero();
    }

    /** Guards against VMs that together send more than the limit that a server reports. */
    @Property(tries = 40)
    void allVmsTogetherStayWithinAReportedLimitInAnyWindow(
            @ForAll @IntRange(min = 1, max = 120) final int count,
            @ForAll @IntRange(min = 1, max = 400) final int tenthsPerSecond,
            @ForAll final long seed) {
        final AtomicLong now = new AtomicLong(1_000_000);
        final Random random = new Random(seed);
        final Set<VmId> fleet = vms(count);
        final RateLimit limit = new RateLimit(tenthsPerSecond / 10.0);
        final int requests = limit.requestsIn(Duration.ofMillis(TrackedServer.LIMIT_WINDOW_MILLIS));
        final List<TrackedServer> views = new ArrayList<>();
        final List<Integer> shares = new ArrayList<>();
        for (final VmId vm : fleet) {
            views.add(warmingUp(now));
            shares.add(shares(vm, fleet).of(SERVER, requests));
        }
        final Deque<Long> window = new ArrayDeque<>();
        for (int step = 0; step < 8_000; step++) {
            now.addAndGet(random.nextInt(4));
            final int vm = random.nextInt(count);
            final boolean mayBegin =
                    views.get(vm).limitDelay(shares.get(vm)).filter(Duration::isZero).isPresent();
            if (mayBegin) {
                views.get(vm).begin(0);
                window.addLast(now.get());
            }
            final long oldest = now.get() - TrackedServer.LIMIT_WINDOW_MILLIS;
            while (!window.isEmpty() && window.peekFirst() <= oldest) {
                window.removeFirst();
            }
            assertThat(window).hasSizeLessThanOrEqualTo(requests);
        }
    }
}
