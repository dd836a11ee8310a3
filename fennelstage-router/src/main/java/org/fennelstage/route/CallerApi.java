package org.fennelstage.route;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.http.RequestHandler;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.objects.Json;
import org.fennelstage.outcome.Outcome;
import org.fennelstage.outcome.Reason;
import org.fennelstage.profile.Profile;
import org.fennelstage.session.InvalidTokenException;
import org.fennelstage.session.Session;
import org.fennelstage.session.SessionTokens;
import org.fennelstage.team.Team;

/**
 * Serves the API for callers: authenticates, validates and admits requests, then starts their
 * execution. Thread-safe.
 */
final class CallerApi implements RequestHandler {

    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String MODELS_PATH = "/v1/models";
    private static final String SERVICES_PATH = "/services/";
    private static final String BEARER = "Bearer ";

    private final RouterComponents components;
    private final Function<EventLoop, EventLoopContext> loopContexts;
    private final Supplier<Boolean> draining;

    CallerApi(
            final RouterComponents components,
            final Function<EventLoop, EventLoopContext> loopContexts,
            final Supplier<Boolean> draining) {
        this.components = components;
        this.loopContexts = loopContexts;
        this.draining = draining;
    }

    @Override
    public void handle(final ServerExchange exchange) {
        final RequestId id = components.ids().next();
        try {
            if (draining.get()) {
                throw reject(Reason.SHUTTING_DOWN, "this VM is shutting down; retry immediately");
            }
            final Configuration configuration = components.configuration().get();
            final Team team = authenticate(configuration, exchange);
            route(configuration, team, exchange, id);
        } catch (final RejectedException e) {
            OutcomeResponse.send(exchange, id, e.outcome());
        }
    }

    private void route(
            final Configuration configuration,
            final Team team,
            final ServerExchange exchange,
            final RequestId id)
            throws RejectedException {
        final String path = exchange.path();
        if (path.equals(CHAT_PATH)) {
            requireMethod(exchange, "POST");
            chat(configuration, team, exchange, id);
        } else if (path.equals(MODELS_PATH)) {
            requireMethod(exchange, "GET");
            models(team, exchange);
        } else if (path.startsWith(SERVICES_PATH)) {
            service(configuration, team, exchange, id);
        } else {
            throw reject(
                    Reason.UNKNOWN_SERVICE,
                    "unknown path; available paths are "
                            + CHAT_PATH
                            + ", "
                            + MODELS_PATH
                            + " and "
                            + SERVICES_PATH);
        }
    }

    private void chat(
            final Configuration configuration,
            final Team team,
            final ServerExchange exchange,
            final RequestId id)
            throws RejectedException {
        final ChatRequest request = ChatRequest.parse(exchange);
        final Profile profile = profile(configuration, team, request.profile());
        if (!profile.idempotent() && request.idempotencyKey().isEmpty()) {
            throw reject(
                    Reason.KEY_REQUIRED,
                    "profile "
                            + profile.id()
                            + " is not idempotent: the header Idempotency-Key is required");
        }
        final Optional<Session> session = session(configuration, request);
        admit(team);
        final EventLoopContext loop = loopContexts.apply(exchange.eventLoop());
        new ChatExecution(components, loop, exchange, team, profile, request, session, id).start();
    }

    private void service(
            final Configuration configuration,
            final Team team,
            final ServerExchange exchange,
            final RequestId id)
            throws RejectedException {
        final String rest = exchange.uri().substring(SERVICES_PATH.length());
        final int slash = rest.indexOf('/');
        final String name = slash < 0 ? rest : rest.substring(0, slash);
        final String target = slash < 0 ? "/" : rest.substring(slash);
        final ServiceName service = serviceName(configuration, name);
        final Optional<String> key = ChatRequest.key(exchange);
        admit(team);
        final EventLoopContext loop = loopContexts.apply(exchange.eventLoop());
        new ServiceExecution(components, loop, exchange, team, service, target, key, id).start();
    }

    private static ServiceName serviceName(final Configuration configuration, final String name)
            throws RejectedException {
        try {
            final ServiceName service = ServiceName.of(name);
            final boolean isDeclared =
                    configuration.backendServers().stream()
                            .anyMatch(s -> s.service().filter(service::equals).isPresent());
            if (isDeclared) {
                return service;
            }
        } catch (final IllegalArgumentException e) {
            throw reject(Reason.UNKNOWN_SERVICE, e.getMessage());
        }
        throw reject(Reason.UNKNOWN_SERVICE, "service '" + name + "' is not declared");
    }

    private void models(final Team team, final ServerExchange exchange) {
        final ObjectNode body = Json.mapper().createObjectNode();
        body.put("object", "list");
        final ArrayNode list = body.putArray("data");
        team.profiles().stream()
                .sorted()
                .forEach(p -> list.addObject().put("id", p.value()).put("object", "model"));
        exchange.respond(200, Map.of("content-type", "application/json"), Json.write(body));
    }

    private static Team authenticate(
            final Configuration configuration, final ServerExchange exchange)
            throws RejectedException {
        final String header = exchange.headers().get("authorization", "");
        if (header.startsWith(BEARER)) {
            final String key = header.substring(BEARER.length()).trim();
            for (final Team team : configuration.teams()) {
                if (team.key().matches(key)) {
                    return team;
                }
            }
        }
        throw reject(
                Reason.UNAUTHENTICATED,
                "missing or invalid team key; send the header Authorization: Bearer KEY");
    }

    private static Profile profile(
            final Configuration configuration, final Team team, final ProfileId id)
            throws RejectedException {
        final Optional<Profile> profile = configuration.profile(id);
        if (profile.isEmpty() || !team.profiles().contains(id)) {
            throw reject(
                    Reason.UNKNOWN_PROFILE,
                    "profile '"
                            + id
                            + "' is not available to this team; available profiles are "
                            + team.profiles().stream().sorted().toList());
        }
        return profile.get();
    }

    private static Optional<Session> session(
            final Configuration configuration, final ChatRequest request) throws RejectedException {
        final Optional<String> token =
                request.session().filter(s -> !s.equals(ChatRequest.NEW_SESSION));
        if (token.isEmpty()) {
            return Optional.empty();
        }
        try {
            final Session session = SessionTokens.verify(configuration.keys(), token.get());
            if (!session.profile().equals(request.profile())) {
                throw reject(
                        Reason.INVALID_SESSION,
                        "the session belongs to profile " + session.profile());
            }
            return Optional.of(session);
        } catch (final InvalidTokenException | IllegalArgumentException e) {
            throw reject(Reason.INVALID_SESSION, e.getMessage());
        }
    }

    private void admit(final Team team) throws RejectedException {
        final Optional<Outcome.NotRun> rejection = components.admission().begin(team);
        if (rejection.isPresent()) {
            throw new RejectedException(rejection.get());
        }
    }

    private static void requireMethod(final ServerExchange exchange, final String method)
            throws RejectedException {
        if (!exchange.method().equals(method)) {
            throw reject(Reason.MALFORMED, "use the method " + method + " for " + exchange.path());
        }
    }

    private static RejectedException reject(final Reason reason, final String detail) {
        return new RejectedException(Outcome.notRun(reason, detail));
    }
}
