package org.fennelstage.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.Pace;
import org.fennelstage.fleet.Reachability;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.fennelstage.speed.SampleKind;
import org.fennelstage.speed.ServerSpeeds;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** One hundred backend servers, a quarter of them slow, with the sums of a collector. */
@State(Scope.Thread)
public class SpeedState {

    private static final int SERVERS = 100;
    private static final long UPDATE_MILLIS = 500;

    private final List<TrackedServer> servers = new ArrayList<>();
    private final Map<BackendServerId, Load> sums = new HashMap<>();
    private final LoadBoard board = LoadBoard.of(this::now, () -> 1);
    private final ServerSpeeds speeds = ServerSpeeds.of(board, this::now);
    private long nowMillis = 1_000_000;

    /** Creates the servers and takes samples of each. */
    public SpeedState() {
        final ServiceName service = ServiceName.of("models");
        final SampleKind kind = SampleKind.ofStream(service, Optional.empty());
        for (int i = 0; i < SERVERS; i++) {
            final BackendServerId id = BackendServerId.of("s-" + i);
            final ServerEntry entry =
                    new ServerEntry(
                            Incarnation.of(id),
                            service,
                            new ServerAddress("127.0.0.1", 9_000 + i),
                            DataCentreId.of("dc"),
                            "v1",
                            12,
                            false,
                            Position.of(0, 1));
            servers.add(TrackedServer.of(entry, this::now, Reachability.of(this::now)));
            sums.put(id, new Load(5, 200).withPace(new Pace(0, 8, i % 4 == 0 ? 6 : 0)));
            speeds.onSample(servers.get(i), kind, 20, 1);
        }
    }

    private long now() {
        return nowMillis;
    }

    /** Receives sums and compares the servers half a second after the last time. */
    List<ServerSpeeds.Change> update() {
        nowMillis += UPDATE_MILLIS;
        board.onReport(VmId.of("collector"), sums);
        return speeds.update(servers);
    }
}
