package org.fennelstage.gateway;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.fleet.ServerHealth;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.ConnectionPolicy;
import org.fennelstage.http.ProbeResult;
import org.fennelstage.placement.Job;

/**
 * Moves a request from a silent backend server to another one.
 *
 * <p>A silent server may still respond, and a stream that has started cannot be rejected any more.
 * So the silent attempt stays open until the other server has accepted a connection and, where one
 * is needed, there is a permit for it, and is set aside until that server has taken the request.
 *
 * <p>Invariants: one search for another server runs at a time; a search ends by {@link
 * RequestExecution#move}, or the attempt stays open. Not thread-safe; confined to the event loop.
 */
final class Takeover {

    /** Why a request stays at its silent backend server. */
    enum KeptBecause {
        /** The request may not run more than once, or not at more backend servers. */
        NO_FURTHER_ATTEMPT,
        /** This VM exits before another backend server would probably have responded. */
        STOPPING,
        /** Requests of its content are rejected, since they crash backend servers. */
        QUARANTINED,
        /** There is no other reachable backend server. */
        NO_SERVER,
        /** The other backend server is saturated. */
        NO_PERMIT,
        /** The other backend server does not accept connections. */
        NOT_ACCEPTED,
        /** The retries of the fleet are used up. */
        NO_RETRY_BUDGET,
        /** The other backend server accepted a connection and did not take the request. */
        NOT_TAKEN
    }

    /** Time after a failed search before the next one; milliseconds. */
    private static final long RETRY_MILLIS = 500;

    private final RequestExecution execution;
    private final PermitCheck permits;
    private final RequestLog log;
    private final ConnectionProbe probe;
    private final Set<KeptBecause> logged = EnumSet.noneOf(KeptBecause.class);
    private boolean searching;
    private long notBeforeMillis = Long.MIN_VALUE;

    Takeover(final RequestExecution execution, final PermitCheck permits, final RequestLog log) {
        this.execution = Objects.requireNonNull(execution, "execution is null");
        this.permits = Objects.requireNonNull(permits, "permits is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.probe = new ConnectionProbe(execution.gateway().client());
    }

    /**
     * Searches another backend server for the request, unless a search runs or has just failed.
     *
     * @param silent the open attempt
     * @param detail what was observed, for the log
     */
    void start(final Attempt silent, final String detail) {
        if (searching || now() < notBeforeMillis) {
            return;
        }
        final Optional<KeptBecause> obstacle = execution.obstacleToMove();
        if (obstacle.isPresent()) {
            keep(obstacle.get(), detail);
            return;
        }
        final Job job = execution.job();
        final Optional<TrackedServer> server = execution.chooseOther(job);
        if (server.isEmpty() || server.get().health().tier() == ServerHealth.Tier.UNREACHABLE) {
            keep(KeptBecause.NO_SERVER, detail);
        } else if (permits.isExhausted(server.get())) {
            keep(KeptBecause.NO_PERMIT, detail);
        } else {
            searching = true;
            new Search(silent, detail, server.get(), job).begin();
        }
    }

    private void keep(final KeptBecause reason, final String detail) {
        notBeforeMillis = now() + RETRY_MILLIS;
        if (logged.add(reason)) {
            log.attemptKept(reason, detail, execution.elapsedMillis());
        }
    }

    private long now() {
        return execution.gateway().state().clock().millis();
    }

    /** A search that has chosen a backend server. */
    private final class Search {

        private final Attempt silent;
        private final String detail;
        private final TrackedServer server;
        private final Job job;
        private Permit permit = Permit.NONE;

        private Search(
                final Attempt silent,
                final String detail,
                final TrackedServer server,
                final Job job) {
            this.silent = silent;
            this.detail = detail;
            this.server = server;
            this.job = job;
        }

        private void begin() {
            if (permits.isNeeded(server, job)) {
                permits.request(
                        server,
                        execution.remaining(),
                        reply -> execution.step(() -> onPermit(reply)));
            } else {
                connect();
            }
        }

        /** Opens the connection that the request is then sent on. */
        private void connect() {
            final ConnectionPolicy policy =
                    new ConnectionPolicy(
                            Attempt.MAX_IDLE_RETRYABLE,
                            execution.maxIdleConnections(),
                            Attempt.FIRST_USE_DELAY);
            probe.run(server, policy, result -> execution.step(() -> onProbed(result)));
        }

        private void onPermit(final Permit reply) {
            if (reply instanceof Permit.Denied) {
                end(KeptBecause.NO_PERMIT);
                return;
            }
            permit = reply;
            if (silent.isSilent()) {
                connect();
            } else {
                abandon();
            }
        }

        private void onProbed(final ProbeResult result) {
            if (!silent.isSilent()) {
                abandon();
                return;
            }
            if (result == ProbeResult.REFUSED || result == ProbeResult.NO_RESPONSE) {
                execution.gateway().onUnreachable(server);
            }
            if (result != ProbeResult.ACCEPTED || !execution.mayUse(server)) {
                end(KeptBecause.NOT_ACCEPTED);
                return;
            }
            final Optional<KeptBecause> obstacle = execution.obstacleToMove();
            if (obstacle.isPresent()) {
                end(obstacle.get());
            } else if (!execution.tryRetry()) {
                end(KeptBecause.NO_RETRY_BUDGET);
            } else {
                searching = false;
                execution.move(silent, server, job, permit, detail);
            }
        }

        private void end(final KeptBecause reason) {
            abandon();
            keep(reason, detail);
        }

        /** Ends the search without a result: the silent attempt has ended or responds again. */
        private void abandon() {
            searching = false;
            if (permit instanceof Permit.Granted granted) {
                granted.giveBack().run(Optional.<Duration>empty());
            }
        }
    }
}
