package org.fennelstage.route;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.fennelstage.id.BackendServerId;

/** What this VM knows of all backend servers it has used. Thread-safe. */
final class WorkerTable {

    private final InstantSource clock;
    private final Map<BackendServerId, WorkerState> states = new ConcurrentHashMap<>();

    WorkerTable(final InstantSource clock) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    WorkerState state(final BackendServerId server) {
        return states.computeIfAbsent(server, s -> new WorkerState(clock));
    }

    /** Returns how many requests this VM has at each server where it has any. */
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
