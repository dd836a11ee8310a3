package org.fennelstage.route;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.fennelstage.id.BackendServerId;

/** The states of all backend servers that this VM has used. Thread-safe. */
final class ServerStateTable {

    private final InstantSource clock;
    private final Map<BackendServerId, ServerState> states = new ConcurrentHashMap<>();

    ServerStateTable(final InstantSource clock) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    ServerState state(final BackendServerId server) {
        return states.computeIfAbsent(server, s -> new ServerState(clock));
    }

    /**
     * Returns the number of this VM's requests in flight by server, without servers that have none.
     */
    Map<BackendServerId, Integer> loads() {
        final Map<BackendServerId, Integer> loads = new HashMap<>();
        states.forEach(
                (server, state) -> {
                    if (state.inFlight().get() > 0) {
                        loads.put(server, state.inFlight().get());
                    }
                });
        return loads;
    }
}
