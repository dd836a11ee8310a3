package org.fennelstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.Reachability;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.ServerHealth;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.history.Position;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.ProbeResult;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RecoveryProbeTest {

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final List<TrackedServer> unreachable = new ArrayList<>();
    private final RecoveryProbe probe =
            new RecoveryProbe(new HttpClient(group.next()), unreachable::add);
    private final TrackedServer server = unreachableServer();

    private TrackedServer unreachableServer() {
        final ServerEntry entry =
                new ServerEntry(
                        Incarnation.of(BackendServerId.of("i-1")),
                        ServiceName.of("portal"),
                        new ServerAddress("127.0.0.1", 1),
                        DataCentreId.of("dc-a"),
                        "v1",
                        4,
                        false,
                        Position.of(0, 1));
        final TrackedServer tracked = TrackedServer.of(entry, now::get, Reachability.of(now::get));
        tracked.health().onUnreachable();
        now.addAndGet(500);
        return tracked;
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void serverIsProbedOncePerPause() {
        assertThat(server.health().probeDue()).isTrue();
        probe.probeDue(List.of(server));
        assertThat(server.health().probeDue()).isFalse();
        now.addAndGet(500);
        assertThat(server.health().probeDue()).isTrue();
    }

    @Test
    void serverThatAcceptsAConnectionIsHealthy() {
        probe.onProbed(server, ProbeResult.ACCEPTED);
        assertThat(server.health().tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
        assertThat(unreachable).isEmpty();
    }

    @Test
    void serverThatRefusesOrDoesNotRespondIsStillUnreachable() {
        probe.onProbed(server, ProbeResult.REFUSED);
        probe.onProbed(server, ProbeResult.NO_RESPONSE);
        assertThat(unreachable).containsExactly(server, server);
    }

    /** Guards against reporting a server at its connection limit to other VMs as unreachable. */
    @Test
    void serverThatClosesTheConnectionIsNeitherHealthyNorUnreachable() {
        probe.onProbed(server, ProbeResult.CLOSED);
        assertThat(server.health().tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        assertThat(unreachable).isEmpty();
    }
}
