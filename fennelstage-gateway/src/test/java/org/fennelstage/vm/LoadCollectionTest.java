package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.Outcomes;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.Page;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.VmEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadCollectionTest {

    private static final int VMS = 30;
    private static final long PERIOD_MILLIS = 500;
    private static final BackendServerId SERVER = BackendServerId.of("i-1");

    private final EventLoop loop = new DefaultEventLoop();
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final Map<InetSocketAddress, Vm> vms = new LinkedHashMap<>();
    private final Set<Vm> stopped = new HashSet<>();
    private int datagrams;
    private int longestSums;
    private final Set<Integer> sentParts = new HashSet<>();

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully();
    }

    private final class Vm {

        private final VmEntry entry;
        private final Peers peers;
        private final LoadBoard board = LoadBoard.of(now::get, () -> 1);
        private final LoadCollection collection;
        private Map<BackendServerId, Load> loads = Map.of(SERVER, new Load(1, 10));

        private Vm(final VmEntry entry) {
            this.entry = entry;
            this.peers = new Peers(entry, address -> new ManualStore(), count -> {});
            this.collection = new LoadCollection(entry.vm(), peers, board, this::send, now::get);
        }

        private void send(final PeerMessage message, final List<InetSocketAddress> to) {
            if (message instanceof PeerMessage.LoadSums sums) {
                sentParts.add(sums.part());
                longestSums = Math.max(longestSums, message.text().length());
            }
            for (final InetSocketAddress address : to) {
                datagrams++;
                final Vm other = vms.get(address);
                if (!stopped.contains(other)) {
                    other.receive(PeerMessage.parse(message.text()).orElseThrow());
                }
            }
        }

        private void receive(final PeerMessage message) {
            if (message instanceof PeerMessage.Loads reported) {
                collection.onLoads(reported);
            } else if (message instanceof PeerMessage.LoadSums sums) {
                collection.onSums(sums);
            }
        }

        private int others() {
            return board.others(SERVER).running();
        }
    }

    private void startFleet(final int count) {
        final List<VmEntry> entries = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            final VmEntry entry =
                    new VmEntry(
                            VmId.of("vm-" + i),
                            DataCentreId.of("dc-a"),
                            new ServerAddress("10.0.0." + i, 7_000));
            vms.put(new InetSocketAddress("10.0.0." + i, 7_000), new Vm(entry));
            entries.add(entry);
        }
        final StoreResult<Page<VmEntry>> list = VmLists.of(entries);
        for (final Vm vm : vms.values()) {
            final ManualStore store = new ManualStore();
            vm.peers.start(loop, store);
            store.complete(list);
        }
    }

    private void periods(final int count) {
        for (int i = 0; i < count; i++) {
            now.addAndGet(PERIOD_MILLIS);
            vms.values().stream()
                    .filter(vm -> !stopped.contains(vm))
                    .forEach(vm -> vm.collection.exchange(vm.loads));
        }
    }

    private Vm collector() {
        final VmId collector = vms.values().iterator().next().peers.dataCentreVms().get(0);
        return vms.values().stream()
                .filter(v -> v.entry.vm().equals(collector))
                .findAny()
                .orElseThrow();
    }

    @Test
    void eachVmKnowsLoadsOfAllOthers() {
        startFleet(VMS);
        periods(3);
        assertThat(vms.values()).allSatisfy(vm -> assertThat(vm.others()).isEqualTo(VMS - 1));
    }

    /** Guards against messages that grow with the square of the fleet. */
    @Test
    void periodCostsAtMostTwoDatagramsPerVm() {
        startFleet(VMS);
        periods(3);
        datagrams = 0;
        periods(1);
        assertThat(datagrams).isLessThanOrEqualTo(2 * VMS);
    }

    /** Guards against a data centre without loads after the failure of its collector. */
    @Test
    void nextVmCollectsAfterCollectorFails() {
        startFleet(VMS);
        periods(3);
        final Vm failed = collector();
        stopped.add(failed);
        periods(8);
        assertThat(vms.values())
                .filteredOn(vm -> !vm.equals(failed))
                .allSatisfy(vm -> assertThat(vm.others()).isEqualTo(VMS - 2));
    }

    /** Guards against repeated intervals without loads because of a VM that never returns. */
    @Test
    void failedCollectorIsRetriedWithBackoff() {
        startFleet(VMS);
        periods(3);
        final Vm failed = collector();
        stopped.add(failed);
        int incompletePeriods = 0;
        for (int i = 0; i < 200; i++) {
            periods(1);
            final boolean incomplete =
                    vms.values().stream().anyMatch(vm -> vm != failed && vm.others() < VMS - 2);
            incompletePeriods += incomplete ? 1 : 0;
        }
        assertThat(incompletePeriods).isLessThan(200 / 10);
    }

    @Test
    void vmsWithoutLoadSendNothing() {
        startFleet(VMS);
        vms.values().forEach(vm -> vm.loads = Map.of());
        periods(5);
        assertThat(datagrams).isZero();
    }

    @Test
    void endOfLoadIsReported() {
        startFleet(VMS);
        periods(3);
        vms.values().forEach(vm -> vm.loads = Map.of());
        periods(3);
        assertThat(vms.values()).allSatisfy(vm -> assertThat(vm.others()).isZero());
    }

    @Test
    void sumsOfManyServersAreSentInParts() {
        startFleet(VMS);
        final Map<BackendServerId, Load> many = new HashMap<>();
        for (int i = 0; i < 72; i++) {
            many.put(BackendServerId.of("a-long-name-of-a-backend-server-" + i), new Load(1, 10));
        }
        vms.values().forEach(vm -> vm.loads = many);
        periods(3);
        assertThat(sentParts).containsExactlyInAnyOrder(0, 1, 2);
        for (final BackendServerId server : many.keySet()) {
            assertThat(vms.values())
                    .allSatisfy(
                            vm -> assertThat(vm.board.others(server).running()).isEqualTo(VMS - 1));
        }
    }

    /** Guards against a VM that counts its own outcomes twice, as its own and in the sums. */
    @Test
    void eachVmKnowsTheOutcomesOfAllOthersOnce() {
        startFleet(VMS);
        final Load load = new Load(0, 0, new Outcomes(12, 1, 0.5));
        vms.values().forEach(vm -> vm.loads = Map.of(SERVER, load));
        periods(3);
        assertThat(vms.values())
                .allSatisfy(
                        vm ->
                                assertThat(vm.board.sums().get(SERVER).outcomes())
                                        .isEqualTo(new Outcomes(12, VMS - 1, 0.5 * (VMS - 1))));
    }

    @Test
    void sumsWithOutcomesFitIntoADatagram() {
        startFleet(VMS);
        final Load load = new Load(9, 99_999, new Outcomes(1_700_000_000_000L, 99, -9.99));
        final Map<BackendServerId, Load> many = new HashMap<>();
        for (int i = 0; i < 72; i++) {
            many.put(BackendServerId.of("backend-%03d".formatted(i)), load);
        }
        vms.values().forEach(vm -> vm.loads = many);
        periods(3);
        assertThat(longestSums).isPositive().isLessThanOrEqualTo(PeerMessenger.MAX_BYTES);
    }

    @Test
    void smallDataCentreUsesNoCollector() {
        startFleet(6);
        assertThat(collector().collection.isInUse()).isFalse();
    }

    /** Guards against a collector that seems dead because its sums are too long to be sent. */
    @ParameterizedTest
    @ValueSource(ints = {16, 24, 96})
    void sumsAreCompleteAndFitIntoDatagramsWhateverTheLengthOfTheIds(final int idLength) {
        startFleet(VMS);
        final Load load = new Load(2, 9_999, new Outcomes(1_700_000_000_000L, 20, -9.99));
        final Map<BackendServerId, Load> few = new HashMap<>();
        for (int i = 0; i < 8; i++) {
            final String id = "backend-" + i;
            few.put(BackendServerId.of(id + "x".repeat(idLength - id.length())), load);
        }
        final Map<BackendServerId, Load> many = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            final String id = "backend-" + i;
            many.put(BackendServerId.of(id + "x".repeat(idLength - id.length())), load);
        }
        vms.values().forEach(vm -> vm.loads = many);
        periods(3);
        assertThat(longestSums).isPositive().isLessThanOrEqualTo(PeerMessenger.MAX_BYTES);
        assertEachKnowsAllOthers(many, load);
        vms.values().forEach(vm -> vm.loads = few);
        periods(2);
        assertEachKnowsAllOthers(few, load);
    }

    private void assertEachKnowsAllOthers(final Map<BackendServerId, Load> loads, final Load each) {
        for (final Vm vm : vms.values()) {
            final Map<BackendServerId, Load> sums = vm.board.sums();
            sums.values().removeIf(sum -> sum.equals(Load.NONE));
            assertThat(sums.keySet()).isEqualTo(loads.keySet());
            assertThat(sums.values())
                    .allSatisfy(
                            sum -> {
                                assertThat(sum.running()).isEqualTo((VMS - 1) * each.running());
                                assertThat(sum.unreadMillis())
                                        .isEqualTo((VMS - 1) * each.unreadMillis());
                                assertThat(sum.outcomes().responseUnits())
                                        .isEqualTo((VMS - 1) * each.outcomes().responseUnits());
                            });
        }
    }

    /** Guards against an outlier that is made by the report of one VM alone. */
    @Test
    void excessThatOneVmReportsIsLimitedOnReceipt() {
        startFleet(2);
        final Vm vm = vms.values().iterator().next();
        vm.receive(
                PeerMessage.parse("loads vm-2 i-1,3,40/12/2000/2000 i-2,0,0/12/2000/200")
                        .orElseThrow());
        final Map<BackendServerId, Load> expected =
                Map.of(
                        SERVER,
                        new Load(3, 40, new Outcomes(12, 2, 2)),
                        BackendServerId.of("i-2"),
                        new Load(0, 0, new Outcomes(12, 20, 2)));
        assertThat(vm.board.sums()).isEqualTo(expected);
    }
}
