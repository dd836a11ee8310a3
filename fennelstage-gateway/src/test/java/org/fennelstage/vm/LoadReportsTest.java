package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.Outcomes;
import org.fennelstage.fleet.Pace;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.ServerTable;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.VmEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadReportsTest {

    private static final VmId OWN = VmId.of("vm-1");
    private static final long START_MILLIS = 1_700_000_000_000L;

    private final EventLoop loop = new DefaultEventLoop();
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ServerTable servers = ServerTable.of(now::get);
    private final List<PeerMessage> sent = new ArrayList<>();
    private LoadReports reports;

    @BeforeEach
    void startVm() {
        final Peers peers = new Peers(vm(1), address -> new ManualStore(), count -> {});
        final ManualStore store = new ManualStore();
        peers.start(loop, store);
        store.complete(VmLists.of(List.of(vm(1), vm(2))));
        final LoadCollection collection =
                new LoadCollection(
                        OWN,
                        peers,
                        LoadBoard.of(now::get, () -> 1),
                        (message, to) -> sent.add(message),
                        now::get);
        reports =
                new LoadReports(
                        OWN,
                        servers,
                        peers,
                        collection,
                        (message, to) -> sent.add(message),
                        now::get);
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully();
    }

    private static VmEntry vm(final int number) {
        return new VmEntry(
                VmId.of("vm-" + number),
                DataCentreId.of("dc"),
                new ServerAddress("10.0.0." + number, 7_000));
    }

    private TrackedServer addServer(final String id) {
        return addServer(id, "portal");
    }

    private TrackedServer addServer(final String id, final String service) {
        final BackendServerId server = BackendServerId.of(id);
        servers.put(
                new ServerEntry(
                        new Incarnation(server, START_MILLIS),
                        ServiceName.of(service),
                        new ServerAddress("10.0.1.1", 9_000),
                        DataCentreId.of("dc"),
                        "v1",
                        6,
                        false,
                        Position.of(0, 1)));
        return servers.find(server).orElseThrow();
    }

    private PeerMessage.Loads report() {
        now.addAndGet(LoadReports.MAX_PERIOD_MILLIS);
        reports.sendDue();
        return (PeerMessage.Loads) sent.get(sent.size() - 1);
    }

    /** Guards against a failing server without load whose failures are not reported. */
    @Test
    void outcomesAreReportedOfAServerWithoutLoad() {
        final TrackedServer server = addServer("i-1");
        server.health().onEnd(true, 0);
        final Load expected = new Load(0, 0, Outcomes.ofUnits(START_MILLIS, 71, 71));
        assertThat(report().loads()).isEqualTo(Map.of(server.entry().id(), expected));
    }

    @Test
    void outcomesAreReportedUntilTheyHaveDecayed() {
        addServer("i-1").health().onEnd(true, 0);
        report();
        now.addAndGet(20_000);
        assertThat(report().loads()).isEmpty();
        final int before = sent.size();
        report();
        assertThat(sent).hasSize(before);
    }

    /** Guards against a VM without working links that reports failures of its own. */
    @Test
    void vmThatDoesNotReachMostServersReportsNoOutcomes() {
        final TrackedServer server = addServer("i-1");
        server.begin(10);
        server.health().onEnd(true, 0);
        server.health().onUnreachable();
        assertThat(report().loads()).isEqualTo(Map.of(server.entry().id(), new Load(1, 10)));
    }

    @Test
    void reportOfManyServersFitsIntoADatagram() {
        for (int i = 0; i < 200; i++) {
            final TrackedServer server = addServer("backend-%03d".formatted(i));
            server.begin(99_999);
            server.health().onEnd(i % 2 == 0, 0.3);
        }
        assertThat(report().text().length()).isLessThanOrEqualTo(PeerMessenger.MAX_BYTES);
    }

    @Test
    void paceIsReportedOfAServerWithoutLoad() {
        final TrackedServer server = addServer("i-1");
        server.onPace(0.5, 1);
        final Pace expected = Pace.ofUnits(START_MILLIS, 84, 42);
        assertThat(report().loads())
                .isEqualTo(Map.of(server.entry().id(), Load.NONE.withPace(expected)));
    }

    /** Guards against busy servers that are left out of reports for the paces of idle ones. */
    @Test
    void pacesOfIdleServersDisplaceNoBusyServerAndNoOutcomes() {
        for (int i = 0; i < 50; i++) {
            addServer(id("idle-", i, 20)).onPace(0.1, 1);
        }
        final List<TrackedServer> busy = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            final TrackedServer server = addServer(id("busy-", i, 20));
            server.begin(1_000L + i);
            server.onPace(0.1, 1);
            busy.add(server);
        }
        busy.get(0).health().onEnd(true, 0);
        final PeerMessage.Loads report = report();
        assertThat(report.text().length()).isLessThanOrEqualTo(PeerMessenger.MAX_BYTES);
        assertThat(report.loads())
                .containsKeys(
                        busy.stream().map(s -> s.entry().id()).toArray(BackendServerId[]::new));
        assertThat(report.loads().get(busy.get(0).entry().id()).outcomes().responses())
                .isGreaterThan(0.5);
        assertThat(report.loads().values())
                .anySatisfy(l -> assertThat(l.pace().samples()).isPositive());
    }

    private static String id(final String prefix, final int number, final int length) {
        final String id = prefix + number;
        return id + "x".repeat(length - id.length());
    }

    /** Guards against reports that are dropped because of the ids of the servers in them. */
    @ParameterizedTest
    @ValueSource(ints = {16, 24, 96})
    void reportFitsIntoADatagramAndKeepsTheMostUnreadPrompts(final int idLength) {
        final List<TrackedServer> busy = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            final TrackedServer server = addServer(id("busy-", i, idLength));
            server.begin(i < 5 ? 0 : 1_000L + i);
            server.health().onEnd(i % 2 == 0, 0.3);
            busy.add(server);
        }
        for (int i = 0; i < 12; i++) {
            final TrackedServer idle = addServer(id("idle-", i, idLength));
            idle.health().onEnd(true, 0);
            idle.health().onEnd(false, 0);
        }
        final PeerMessage.Loads report = report();
        assertThat(report.text().length()).isLessThanOrEqualTo(PeerMessenger.MAX_BYTES);
        final List<Integer> reportedBusy =
                IntStream.range(0, busy.size())
                        .filter(i -> report.loads().containsKey(busy.get(i).entry().id()))
                        .boxed()
                        .toList();
        final long unread = reportedBusy.stream().filter(i -> i >= 5).count();
        assertThat(reportedBusy)
                .containsAll(IntStream.range(40 - (int) unread, 40).boxed().toList());
        if (reportedBusy.size() < report.loads().size()) {
            assertThat(reportedBusy).hasSize(40);
        }
        if (unread < 35) {
            assertThat(reportedBusy).hasSize((int) unread);
        }
        final int longestEntry = idLength + " ,1,1039/1700000000000/200/200".length();
        final boolean complete = report.loads().size() == 52;
        assertThat(complete || report.text().length() > PeerMessenger.MAX_BYTES - longestEntry)
                .as("nothing that fits is left out")
                .isTrue();
    }

    /** Guards against failures that stay unknown in a service with few requests. */
    @Test
    void outcomesOfASmallServiceAreReportedBesideThoseOfABusyOne() {
        for (int i = 0; i < 13; i++) {
            final TrackedServer server = addServer("busy-" + i, "models");
            for (int request = 0; request < 10; request++) {
                server.health().onEnd(false, 0);
            }
        }
        final TrackedServer failing = addServer("i-1");
        failing.health().onEnd(true, 0);
        final TrackedServer sound = addServer("i-2");
        sound.health().onEnd(false, 0);
        final Map<BackendServerId, Load> loads = report().loads();
        assertThat(loads).containsKeys(failing.entry().id(), sound.entry().id()).hasSize(12);
    }

    /** Guards against a failing server that is left out because its failures are limited. */
    @Test
    void choiceOfServersDoesNotDependOnHowManyRequestsFailed() {
        final TrackedServer failing = addServer("z-failing");
        for (int request = 0; request < 20; request++) {
            failing.health().onEnd(true, 0);
        }
        for (int i = 0; i < 13; i++) {
            final TrackedServer server = addServer("i-" + i);
            for (int request = 0; request < 10; request++) {
                server.health().onEnd(false, 0);
            }
        }
        assertThat(report().loads()).containsKey(failing.entry().id()).hasSize(12);
    }
}
