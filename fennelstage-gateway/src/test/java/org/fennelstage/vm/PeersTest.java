package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.gateway.Sockets;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.Page;
import org.fennelstage.store.Store;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.VmEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeersTest {

    private final EventLoop loop = new DefaultEventLoop();
    private final Map<ServerAddress, Store> stores = new HashMap<>();

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully();
    }

    private static VmEntry entry(final int number, final String dataCentre) {
        return new VmEntry(
                VmId.of("vm-" + number),
                DataCentreId.of(dataCentre),
                new ServerAddress("10.0.0." + number, 7000));
    }

    private Peers peersKnowing(final VmEntry own, final List<VmEntry> all) {
        final Peers peers =
                new Peers(own, a -> stores.computeIfAbsent(a, b -> new ManualStore()), count -> {});
        final ManualStore store = new ManualStore();
        peers.start(loop, store);
        final StoreResult<Page<VmEntry>> list = VmLists.of(all);
        store.complete(list);
        assertThat(peers.coalescingRelays()).as("just started").isEmpty();
        peers.start(loop, store);
        store.complete(list);
        return peers;
    }

    private static List<VmEntry> dataCentre(final String name, final int first, final int count) {
        final List<VmEntry> result = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            result.add(entry(first + i, name));
        }
        return result;
    }

    @Test
    void vmsOfDataCentreAgreeOnOrderOfCoalescingRelays() {
        final List<VmEntry> all = dataCentre("dc-a", 1, 8);
        all.addAll(dataCentre("dc-b", 20, 8));
        final List<Store> expected = peersKnowing(all.get(0), all).coalescingRelays();
        assertThat(expected).hasSize(8);
        for (final VmEntry own : all.subList(1, 8)) {
            assertThat(peersKnowing(own, all).coalescingRelays()).isEqualTo(expected);
        }
        assertThat(peersKnowing(all.get(8), all).coalescingRelays())
                .doesNotContainAnyElementsOf(expected);
    }

    @Test
    void dataCentrePeersAreOtherVmsOfSameDataCentre() {
        final List<VmEntry> all = dataCentre("dc-a", 1, 3);
        all.addAll(dataCentre("dc-b", 20, 8));
        assertThat(peersKnowing(all.get(0), all).dataCentrePeers())
                .containsExactly(
                        Sockets.address(all.get(1).address()),
                        Sockets.address(all.get(2).address()));
    }

    @Test
    void smallDataCentreDoesNotCoalesceCalls() {
        final List<VmEntry> all = dataCentre("dc-a", 1, 3);
        all.addAll(dataCentre("dc-b", 20, 8));
        assertThat(peersKnowing(all.get(0), all).coalescingRelays()).isEmpty();
    }

    @Test
    void vmsNearADataCentreAreItsOwnOrAllIfItHasNone() {
        final List<VmEntry> all = dataCentre("dc-a", 1, 3);
        all.addAll(dataCentre("dc-b", 20, 8));
        final Peers peers = peersKnowing(all.get(0), all);
        assertThat(peers.rankedNear("task", DataCentreId.of("dc-a")))
                .containsExactlyInAnyOrderElementsOf(
                        all.subList(0, 3).stream().map(VmEntry::vm).toList());
        assertThat(peers.rankedNear("task", DataCentreId.of("dc-c"))).hasSize(11);
    }

    /** Guards against forgetting VMs that a store restored from an older copy no longer lists. */
    @Test
    void restoredListRemovesNoVmAndMissingVmWritesItsEntry() {
        final List<VmEntry> all = dataCentre("dc-a", 1, 8);
        final Peers peers = peersKnowing(all.get(0), all);
        final List<Store> before = peers.coalescingRelays();
        final ManualStore store = new ManualStore();
        peers.start(loop, store);
        store.complete(VmLists.of(all.subList(1, 3)));
        assertThat(peers.coalescingRelays()).isEqualTo(before);
        assertThat(store.pending()).as("own entry").hasSize(1);
    }
}
