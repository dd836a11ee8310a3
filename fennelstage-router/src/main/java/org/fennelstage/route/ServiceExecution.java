package org.fennelstage.route;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.control.ClaimResult;
import org.fennelstage.control.Claims;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.ResponseListener;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.outcome.Outcome;
import org.fennelstage.outcome.Reason;
import org.fennelstage.team.Team;

/**
 * Executes one request to a service, forwarding the caller's method and body.
 *
 * <p>Invariants: a request whose method is not idempotent is sent at most once; with an idempotency
 * key it runs at most once across all VMs. Not thread-safe; confined to the event loop of the
 * caller's connection.
 */
final class ServiceExecution {

    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");
    private static final List<String> FORWARDED_HEADERS =
            List.of("content-type", "accept", "traceparent", "idempotency-key");
    private static final Duration INACTIVITY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final RouterComponents components;
    private final EventLoopContext loopContext;
    private final ServerExchange exchange;
    private final Team team;
    private final ServiceName service;
    private final String target;
    private final Optional<String> key;
    private final RequestId id;
    private final Attempts attempts;
    private final boolean idempotent;
    private final Runnable ending = this::endBeforeExit;
    private boolean claimed;
    private boolean started;
    private boolean ended;

    ServiceExecution(
            final RouterComponents components,
            final EventLoopContext loopContext,
            final ServerExchange exchange,
            final Team team,
            final ServiceName service,
            final String target,
            final Optional<String> key,
            final RequestId id) {
        this.components = components;
        this.loopContext = loopContext;
        this.exchange = exchange;
        this.team = team;
        this.service = service;
        this.target = target;
        this.key = key;
        this.id = id;
        this.attempts =
                new Attempts(
                        components.serverStates(), loopContext.client(), (server, inFlight) -> {});
        this.idempotent = IDEMPOTENT_METHODS.contains(exchange.method());
    }

    void start() {
        loopContext.onStarted(ending);
        exchange.onClosed(this::onCallerDisconnected);
        if (ended) {
            return;
        }
        exchange.onWritable(() -> attempts.pause(false));
        if (idempotent || key.isEmpty()) {
            dispatch();
            return;
        }
        components
                .claims()
                .take(claimKey(), id)
                .thenAccept(result -> EventLoops.run(exchange.eventLoop(), () -> onClaim(result)));
    }

    private void onClaim(final ClaimResult result) {
        if (result instanceof ClaimResult.Conflict duplicate) {
            end(DuplicateRequests.outcome(duplicate.current()));
            return;
        }
        claimed = true;
        if (ended) {
            components.claims().release(claimKey(), id);
        } else if (result instanceof ClaimResult.Unavailable unavailable) {
            end(Outcome.notRun(Reason.CLAIM_UNAVAILABLE, unavailable.detail(), RETRY_AFTER));
        } else {
            dispatch();
        }
    }

    private void dispatch() {
        final Configuration latest = components.configuration().get();
        final Optional<BackendServer> server =
                attempts.send(
                        loopContext.pool(latest, service),
                        loopContext.serviceSelector(),
                        0,
                        Attempts.options(INACTIVITY_TIMEOUT, idempotent),
                        this::backendRequest,
                        new Listener());
        if (server.isEmpty()) {
            end(notRunOrUnknown("no backend server available for service " + service));
        }
    }

    private Outcome notRunOrUnknown(final String detail) {
        return attempts.mayHaveRun()
                ? new Outcome.Unknown(detail + "; an earlier attempt may have run")
                : Outcome.notRun(Reason.NO_BACKEND, detail, RETRY_AFTER);
    }

    private FullHttpRequest backendRequest() {
        final FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(exchange.method()),
                        target,
                        Unpooled.wrappedBuffer(exchange.body()));
        for (final String name : FORWARDED_HEADERS) {
            final String value = exchange.headers().get(name);
            if (value != null) {
                message.headers().set(name, value);
            }
        }
        message.headers().set(OutcomeResponse.REQUEST_ID, id.value());
        return message;
    }

    private void onFailure(final CallFailure failure) {
        attempts.onFailure(failure);
        final boolean notSent = failure.phase() == CallFailure.Phase.NOT_SENT;
        final boolean retryable = notSent || (idempotent && !started);
        if (retryable && attempts.mayRetry() && components.retries().tryRetry()) {
            components.metrics().retried();
            dispatch();
        } else if (notSent) {
            end(notRunOrUnknown(failure.detail()));
        } else {
            end(new Outcome.Unknown("the service sent no complete response: " + failure.detail()));
        }
    }

    private void onCallerDisconnected() {
        attempts.cancel();
        end(new Outcome.Unknown("the caller closed the connection"));
    }

    private void endBeforeExit() {
        attempts.cancel();
        end(
                attempts.mayHaveRun()
                        ? new Outcome.Unknown("this VM stopped before the response was complete")
                        : Outcome.notRun(
                                Reason.SHUTTING_DOWN,
                                "this VM stopped before the request ran",
                                RETRY_AFTER));
    }

    private void end(final Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        loopContext.onEnded(ending);
        components.admission().end(team);
        if (claimed && outcome instanceof Outcome.NotRun) {
            components.claims().release(claimKey(), id);
        } else if (claimed && outcome instanceof Outcome.Complete) {
            components.claims().done(claimKey(), id);
        }
        if (outcome instanceof Outcome.Complete) {
            exchange.end();
        } else if (started) {
            exchange.abort();
        } else {
            OutcomeResponse.send(exchange, id, outcome);
        }
    }

    private String claimKey() {
        return Claims.key(team.id(), service + "/" + key.orElseThrow());
    }

    private final class Listener implements ResponseListener {

        @Override
        public void onHead(final int status, final HttpHeaders headers) {
            attempts.onResponse();
            started = true;
            final Map<String, String> forwarded = new HashMap<>();
            forwarded.put(OutcomeResponse.REQUEST_ID, id.value());
            final String type = headers.get("content-type");
            if (type != null) {
                forwarded.put("content-type", type);
            }
            exchange.begin(status, forwarded);
        }

        @Override
        public void onContent(final ByteBuf content) {
            exchange.write(content.retainedDuplicate());
            if (!exchange.isWritable()) {
                attempts.pause(true);
            }
        }

        @Override
        public void onEnd() {
            attempts.release();
            end(new Outcome.Complete());
        }

        @Override
        public void onFailure(final CallFailure failure) {
            ServiceExecution.this.onFailure(failure);
        }
    }
}
