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
import org.fennelstage.control.ClaimAnswer;
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
 * One request to a plain service, passed on with the caller's method and body.
 *
 * <p>Invariants: a request whose method is not idempotent is sent at most once; with a key it runs
 * at most once over all VMs. Confined to the event loop of the caller's connection.
 */
final class ServiceRun {

    private static final Set<String> IDEMPOTENT = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");
    private static final List<String> PASSED_HEADERS =
            List.of("content-type", "accept", "traceparent", "idempotency-key");
    private static final Duration SILENCE = Duration.ofSeconds(30);
    private static final Duration RETRY = Duration.ofSeconds(2);

    private final Services services;
    private final LoopContext loop;
    private final ServerExchange exchange;
    private final Team team;
    private final ServiceName service;
    private final String target;
    private final Optional<String> key;
    private final RequestId id;
    private final Attempts attempts;
    private final boolean idempotent;
    private boolean claimed;
    private boolean begun;
    private boolean ended;

    ServiceRun(
            final Services services,
            final LoopContext loop,
            final ServerExchange exchange,
            final Team team,
            final ServiceName service,
            final String target,
            final Optional<String> key,
            final RequestId id) {
        this.services = services;
        this.loop = loop;
        this.exchange = exchange;
        this.team = team;
        this.service = service;
        this.target = target;
        this.key = key;
        this.id = id;
        this.attempts = new Attempts(services.workers(), loop.client(), (server, left) -> {});
        this.idempotent = IDEMPOTENT.contains(exchange.method());
    }

    void start() {
        exchange.onClosed(this::onCallerGone);
        if (ended) {
            return;
        }
        exchange.onWritable(() -> attempts.pause(false));
        if (idempotent || key.isEmpty()) {
            dispatch();
            return;
        }
        services.claims()
                .take(claimKey(), id)
                .thenAccept(answer -> Loops.run(exchange.eventLoop(), () -> onClaim(answer)));
    }

    private void onClaim(final ClaimAnswer answer) {
        if (answer instanceof ClaimAnswer.Refused refused) {
            end(Duplicates.outcome(refused.held()));
            return;
        }
        claimed = true;
        if (ended) {
            services.claims().release(claimKey(), id);
        } else if (answer instanceof ClaimAnswer.Unavailable unavailable) {
            end(Outcome.notRun(Reason.CLAIM_UNAVAILABLE, unavailable.detail(), RETRY));
        } else {
            dispatch();
        }
    }

    private void dispatch() {
        final Configuration now = services.configuration().get();
        final Optional<BackendServer> server =
                attempts.send(
                        loop.pool(now, service),
                        loop.forServices(),
                        0,
                        Attempts.options(SILENCE, idempotent),
                        this::backendRequest,
                        new Listener());
        if (server.isEmpty()) {
            end(notRunOrUnknown("no server of " + service));
        }
    }

    private Outcome notRunOrUnknown(final String detail) {
        return attempts.mayHaveRun()
                ? new Outcome.Unknown(detail + "; an earlier attempt may have run")
                : Outcome.notRun(Reason.NO_BACKEND, detail, RETRY);
    }

    private FullHttpRequest backendRequest() {
        final FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(exchange.method()),
                        target,
                        Unpooled.wrappedBuffer(exchange.body()));
        for (final String name : PASSED_HEADERS) {
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
        final boolean repeatable = notSent || (idempotent && !begun);
        if (repeatable && attempts.mayTryAgain() && services.retries().tryRetry()) {
            services.metrics().retried();
            dispatch();
        } else if (notSent) {
            end(notRunOrUnknown(failure.detail()));
        } else {
            end(new Outcome.Unknown("the service gave no whole answer: " + failure.detail()));
        }
    }

    private void onCallerGone() {
        attempts.cancel();
        end(new Outcome.Unknown("the caller went away"));
    }

    private void end(final Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        services.admission().end(team);
        if (claimed && outcome instanceof Outcome.NotRun) {
            services.claims().release(claimKey(), id);
        } else if (claimed && outcome instanceof Outcome.Complete) {
            services.claims().done(claimKey(), id);
        }
        if (outcome instanceof Outcome.Complete) {
            exchange.end();
        } else if (begun) {
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
            attempts.onAnswer();
            begun = true;
            final Map<String, String> passed = new HashMap<>();
            passed.put(OutcomeResponse.REQUEST_ID, id.value());
            final String type = headers.get("content-type");
            if (type != null) {
                passed.put("content-type", type);
            }
            exchange.begin(status, passed);
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
            ServiceRun.this.onFailure(failure);
        }
    }
}
