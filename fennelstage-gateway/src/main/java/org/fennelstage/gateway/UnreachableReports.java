package org.fennelstage.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerHealth;
import org.fennelstage.fleet.ServerTable;
import org.fennelstage.time.MonotonicClock;

/**
 * Decides which backend servers to report to other VMs as unreachable.
 *
 * <p>A VM that loses its own links finds one server after another unreachable. A report therefore
 * waits until the VM would have noticed that it is itself cut off.
 *
 * <p>Invariant: a server is reported only if this VM still cannot use it and reaches most others.
 * Not thread-safe; confined to the event loop.
 */
final class UnreachableReports {

    /** Longer than a connection attempt takes to fail, so that those made together have ended. */
    static final long DELAY_MILLIS = 250;

    private final ServerTable servers;
    private final MonotonicClock clock;
    private final Consumer<Incarnation> listener;
    private final Map<Incarnation, Long> dueMillis = new LinkedHashMap<>();

    /**
     * Creates an instance without reports.
     *
     * @param servers the backend servers
     * @param clock the clock
     * @param listener receives the backend servers to report
     */
    UnreachableReports(
            final ServerTable servers,
            final MonotonicClock clock,
            final Consumer<Incarnation> listener) {
        this.servers = Objects.requireNonNull(servers, "servers is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    /** Records that this VM could not reach a backend server. */
    void onUnreachable(final Incarnation server) {
        dueMillis.putIfAbsent(server, clock.millis() + DELAY_MILLIS);
    }

    /** Reports what is due; to be called several times a second. */
    void sendDue() {
        if (dueMillis.isEmpty()) {
            return;
        }
        final long now = clock.millis();
        final List<Incarnation> due =
                dueMillis.entrySet().stream()
                        .filter(e -> e.getValue() <= now)
                        .map(Map.Entry::getKey)
                        .toList();
        due.forEach(dueMillis::remove);
        if (!due.isEmpty() && servers.reachesMost()) {
            due.stream().filter(this::isStillUnusable).forEach(listener);
        }
    }

    private boolean isStillUnusable(final Incarnation server) {
        return servers.find(server.server())
                .filter(s -> s.entry().incarnation().equals(server))
                .filter(s -> s.health().tier() != ServerHealth.Tier.HEALTHY)
                .isPresent();
    }
}
