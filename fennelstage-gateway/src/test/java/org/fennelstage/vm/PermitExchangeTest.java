package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.admission.Admission;
import org.fennelstage.admission.TrafficClass;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.gateway.Permit;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VmId;
import org.fennelstage.permit.PermitDecision;
import org.fennelstage.permit.PermitLedger;
import org.fennelstage.permit.PermitTerms;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.Page;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.VmEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PermitExchangeTest {

    private static final Duration TIMEOUT = Duration.ofMillis(50);
    private static final PermitTerms TERMS =
            new PermitTerms(6, Duration.ofMillis(200), Duration.ofSeconds(1));

    /** Permits for six slots before any response is known. */
    private static final int INITIAL_LIMIT = 10;

    private final EventLoop loop = new DefaultEventLoop();
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final Map<VmId, Vm> vms = new HashMap<>();
    private final Map<InetSocketAddress, Vm> byAddress = new HashMap<>();
    private final Set<Vm> stopped = new HashSet<>();
    private final List<Runnable> timeouts = new ArrayList<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private final List<Permit> replies = new ArrayList<>();
    private final List<PermitDecision> decisions = new ArrayList<>();
    private boolean delaying;

    private final ServerEntry server = server("i-1", "dc-b");

    private final class Vm {

        private final VmEntry entry;
        private final Peers peers;
        private final PermitExchange permits;

        private Vm(final VmEntry entry) {
            this.entry = entry;
            this.peers = new Peers(entry, address -> new ManualStore(), count -> {});
            this.permits =
                    new PermitExchange(
                            entry.vm(),
                            peers,
                            this::send,
                            (task, delay) -> timeouts.add(task),
                            now::get,
                            PermitLedger.emptyWithFairShares(now::get),
                            decisions::add,
                            1);
        }

        private void send(final PeerMessage message, final List<InetSocketAddress> to) {
            final PeerMessage received = PeerMessage.parse(message.text()).orElseThrow();
            for (final InetSocketAddress address : to) {
                final Vm other = byAddress.get(address);
                if (!stopped.contains(other)) {
                    deliver(() -> other.permits.onMessage((PermitMessage) received));
                }
            }
        }

        private void request() {
            permits.request(server, TERMS, TIMEOUT, replies::add);
        }
    }

    private void deliver(final Runnable message) {
        if (delaying) {
            delayed.add(message);
        } else {
            message.run();
        }
    }

    private static ServerEntry server(final String id, final String dataCentre) {
        return new ServerEntry(
                Incarnation.of(BackendServerId.of(id)),
                ServiceName.of("portal"),
                new ServerAddress("127.0.0.1", 9000),
                DataCentreId.of(dataCentre),
                "v1",
                6,
                false,
                Position.of(0, 1));
    }

    @BeforeEach
    void startFleet() {
        final List<VmEntry> entries = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            final VmEntry entry =
                    new VmEntry(
                            VmId.of("vm-" + i),
                            DataCentreId.of(i <= 3 ? "dc-a" : "dc-b"),
                            new ServerAddress("10.0.0." + i, 7_000));
            final Vm vm = new Vm(entry);
            vms.put(entry.vm(), vm);
            byAddress.put(new InetSocketAddress("10.0.0." + i, 7_000), vm);
            entries.add(entry);
        }
        final StoreResult<Page<VmEntry>> list = VmLists.of(entries);
        for (final Vm vm : vms.values()) {
            final ManualStore store = new ManualStore();
            vm.peers.start(loop, store);
            store.complete(list);
        }
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully();
    }

    private Vm vm(final int number) {
        return vms.get(VmId.of("vm-" + number));
    }

    private Vm issuer() {
        return vms.get(vm(1).peers.rankedNear("i-1", DataCentreId.of("dc-b")).get(0));
    }

    private long granted() {
        return replies.stream().filter(Permit.Granted.class::isInstance).count();
    }

    private void runTimeouts() {
        final List<Runnable> due = List.copyOf(timeouts);
        timeouts.clear();
        due.forEach(Runnable::run);
    }

    /** Guards against VMs that each fill the queue of a backend server, as if they were alone. */
    @Test
    void allVmsTogetherGetNoMorePermitsThanTheLimit() {
        for (int i = 0; i < 60; i++) {
            vm(i % 6 + 1).request();
        }
        assertThat(replies).hasSize(60);
        assertThat(granted()).isEqualTo(INITIAL_LIMIT);
    }

    @Test
    void theIssuerIsAVmOfTheServersDataCentre() {
        assertThat(issuer().entry.dataCentre()).isEqualTo(DataCentreId.of("dc-b"));
        for (final Vm vm : vms.values()) {
            assertThat(vm.peers.rankedNear("i-1", DataCentreId.of("dc-b")).get(0))
                    .isEqualTo(issuer().entry.vm());
        }
    }

    @Test
    void aReturnedPermitMayBeIssuedToAnotherVm() {
        for (int i = 0; i < INITIAL_LIMIT; i++) {
            vm(1).request();
        }
        ((Permit.Granted) replies.get(0)).giveBack().run(Optional.empty());
        vm(2).request();
        assertThat(granted()).isEqualTo(INITIAL_LIMIT + 1);
    }

    /** Guards against requests that wait for a stopped VM until their deadline. */
    @Test
    void withoutAReplyThePermitIsUnavailableAfterTheTimeout() {
        stopped.add(issuer());
        final Vm other = vm(1);
        other.request();
        assertThat(replies).isEmpty();
        runTimeouts();
        assertThat(replies).containsExactly(Permit.NONE);
    }

    @Test
    void aReplyIsPassedOnOnce() {
        vm(1).request();
        runTimeouts();
        assertThat(replies).hasSize(1);
        assertThat(granted()).isEqualTo(1);
    }

    @Test
    void aVmThatDoesNotReplyIsSkipped() {
        final Vm first = issuer();
        stopped.add(first);
        for (int i = 0; i < 3; i++) {
            vm(1).request();
            runTimeouts();
        }
        replies.clear();
        vm(1).request();
        assertThat(granted()).isEqualTo(1);
        now.addAndGet(UnresponsiveVms.FIRST_BACKOFF_MILLIS);
        stopped.clear();
        vm(1).request();
        assertThat(granted()).isEqualTo(2);
    }

    /** Guards against requests of the previous version that get no reply, or more than others. */
    @Test
    void aRequestWithoutPriorityAndTeamIsDecidedAsTheLeastUrgent() {
        vm(1).permits
                .request(
                        server,
                        TERMS.of(TrafficClass.of(2, Optional.of(TeamId.of("t-1")))),
                        TIMEOUT,
                        replies::add);
        vm(2).request();
        assertThat(granted()).isEqualTo(2);
        assertThat(decisions.get(1).admission().map(Admission::traffic))
                .contains(TrafficClass.of(2, Optional.empty()));
    }

    /** Guards against permits that count although the request was sent without. */
    @Test
    void aPermitThatArrivesAfterTheTimeoutIsReturned() {
        delaying = true;
        vm(1).request();
        runTimeouts();
        delaying = false;
        delayed.forEach(Runnable::run);
        assertThat(replies).containsExactly(Permit.NONE);
        replies.clear();
        for (int i = 0; i < 30; i++) {
            vm(2).request();
        }
        assertThat(granted()).isEqualTo(INITIAL_LIMIT);
    }
}
