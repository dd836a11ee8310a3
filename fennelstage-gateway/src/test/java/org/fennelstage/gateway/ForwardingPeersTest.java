package org.fennelstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ForwardingPeersTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final List<InetSocketAddress> all = new ArrayList<>();
    private final Random random = new Random(7);
    private final ForwardingPeers peers = new ForwardingPeers(() -> all, random, now::get);

    private void addVms(final int count) {
        for (int i = 0; i < count; i++) {
            all.add(new InetSocketAddress("10.0.0." + (i + 1), 80));
        }
    }

    private InetSocketAddress choose() {
        return peers.choose(Set.of()).orElseThrow();
    }

    @Test
    void aVmThatServedIsPreferredOnceEnoughAreKnown() {
        addVms(9);
        final Set<InetSocketAddress> served = new HashSet<>();
        for (int i = 0; i < ForwardingPeers.ENOUGH_CONFIRMED; i++) {
            final InetSocketAddress peer = choose();
            peers.onSuccess(peer);
            served.add(peer);
            now.addAndGet(ForwardingPeers.TRIAL_INTERVAL_MILLIS);
        }
        assertThat(served).hasSize(ForwardingPeers.ENOUGH_CONFIRMED);
        assertThat(choose()).isIn(served);
    }

    @Test
    void requestsAreSpreadOverTheVmsThatServe() {
        addVms(2);
        all.forEach(peers::onSuccess);
        peers.onBegin(all.get(0));
        assertThat(choose()).isEqualTo(all.get(1));
        peers.onBegin(all.get(1));
        peers.onEnd(all.get(0));
        assertThat(choose()).isEqualTo(all.get(0));
    }

    @Test
    void aVmThatFailedIsLeftOutForAWhile() {
        addVms(1);
        peers.onFailure(all.get(0));
        assertThat(peers.choose(Set.of())).isEmpty();
        now.addAndGet(ForwardingPeers.AVOIDED_MILLIS);
        assertThat(peers.choose(Set.of())).contains(all.get(0));
    }

    @Test
    void excludedVmsAreNotChosen() {
        addVms(1);
        assertThat(peers.choose(Set.copyOf(all))).isEmpty();
    }

    /** Guards against requests that ask every VM of a large fleet while a service is down. */
    @Test
    void noVmIsChosenForAWhileAfterSeveralFailures() {
        addVms(90);
        int asked = 0;
        for (int millis = 0; millis < 10_000; millis += 10) {
            final Optional<InetSocketAddress> peer = peers.choose(Set.of());
            asked += peer.isPresent() ? 1 : 0;
            peer.ifPresent(peers::onFailure);
            now.addAndGet(10);
        }
        assertThat(asked).isBetween(ForwardingPeers.MAX_FAILURES, 8 * ForwardingPeers.MAX_FAILURES);
    }

    /** Guards against leaving out the VMs that serve because others do not. */
    @Test
    void vmsThatServeAreChosenAlsoAfterFailuresOfOthers() {
        addVms(9);
        peers.onSuccess(all.get(0));
        all.subList(1, 9).forEach(peers::onFailure);
        assertThat(choose()).isEqualTo(all.get(0));
        now.addAndGet(ForwardingPeers.AVOIDED_MILLIS);
        final Set<InetSocketAddress> together = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            together.add(choose());
        }
        assertThat(together).hasSizeLessThanOrEqualTo(2).contains(all.get(0));
    }

    /** Guards against rejecting requests although a few of many VMs reach the servers. */
    @Test
    void theFewVmsThatReachTheServersAreFoundSoon() {
        addVms(89);
        final Set<InetSocketAddress> cutOff = new HashSet<>(all.subList(0, 60));
        int served = 0;
        int requests = 0;
        for (int millis = 0; millis < 12_000; millis += 100) {
            final boolean counts = millis >= 3_000;
            requests += counts ? 1 : 0;
            served += serve(cutOff) && counts ? 1 : 0;
            now.addAndGet(50 + random.nextInt(100));
        }
        assertThat(served).isGreaterThan(requests * 9 / 10);
    }

    /** Tries the VMs in turn, as a request does, and returns whether one served it. */
    private boolean serve(final Set<InetSocketAddress> cutOff) {
        final Set<InetSocketAddress> tried = new HashSet<>();
        Optional<InetSocketAddress> peer = peers.choose(tried);
        while (peer.isPresent() && tried.size() < 8) {
            tried.add(peer.get());
            if (!cutOff.contains(peer.get())) {
                peers.onSuccess(peer.get());
                return true;
            }
            peers.onFailure(peer.get());
            peer = peers.choose(tried);
        }
        return false;
    }
}
