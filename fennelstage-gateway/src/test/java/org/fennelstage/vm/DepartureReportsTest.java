package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.fennelstage.fleet.Departure;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.VmEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DepartureReportsTest {

    private static final int DATA_CENTRES = 3;
    private static final int VMS_EACH = 5;

    private final EventLoop loop = new DefaultEventLoop();
    private final List<List<InetSocketAddress>> recipients = new ArrayList<>();
    private final List<DepartureReports> vms = new ArrayList<>();

    @AfterEach
    void stop() {
        loop.shutdownGracefully();
    }

    private static VmEntry entry(final int vm) {
        return new VmEntry(
                VmId.of("edge-" + vm),
                DataCentreId.of("dc-" + vm % DATA_CENTRES),
                new ServerAddress("10.0.0." + (vm + 1), 80));
    }

    private void startFleet() {
        final List<VmEntry> entries =
                IntStream.range(0, DATA_CENTRES * VMS_EACH)
                        .mapToObj(DepartureReportsTest::entry)
                        .toList();
        for (final VmEntry entry : entries) {
            final ManualStore store = new ManualStore();
            final Peers peers = new Peers(entry, address -> new ManualStore(), count -> {});
            peers.start(loop, store);
            store.complete(VmLists.of(entries));
            vms.add(new DepartureReports(entry.vm(), peers, (message, to) -> recipients.add(to)));
        }
    }

    /** Guards against a departure that is lost with the one VM that reports it. */
    @Test
    void twoVmsOfEachDataCentreReportADepartureToAllOthers() {
        startFleet();
        final Incarnation server = Incarnation.of(BackendServerId.of("i-1"));
        final Departure departure = new Departure(server, Position.of(0, 5), false);
        vms.forEach(vm -> vm.onDeparture(departure));
        assertThat(recipients).hasSize(DATA_CENTRES * DepartureReports.REPORTERS);
        assertThat(recipients).allSatisfy(to -> assertThat(to).hasSize(vms.size() - 1));
    }
}
