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

/** What callers can ask. Thread-safe. */
final class CallerApi implements RequestHandler {

    private static final String CHAT = "/v1/chat/completions";
    private static final String MODELS = "/v1/models";
    private static final String SERVICES = "/services/";
    private static final String BEARER = "Bearer ";

    private final Services services;
    private final Function<EventLoop, LoopContext> loops;
    private final Supplier<Boolean> draining;

    CallerApi(
            final Services services,
            final Function<EventLoop, LoopContext> loops,
            final Supplier<Boolean> draining) {
        this.services = services;
        this.loops = loops;
        this.draining = draining;
    }

    @Override
    public void handle(final ServerExchange exchange) {
        final RequestId id = services.ids().next();
        try {
            if (draining.get()) {
                throw refuse(Reason.SHUTTING_DOWN, "this VM stops; try again at once");
            }
            final Configuration configuration = services.configuration().get();
            final Team team = authenticate(configuration, exchange);
            route(configuration, team, exchange, id);
        } catch (final RefusedException e) {
            OutcomeResponse.send(exchange, id, e.outcome());
        }
    }

    private void route(
            final Configuration configuration,
            final Team team,
            final ServerExchange exchange,
            final RequestId id)
            throws RefusedException {
        final String path = exchange.path();
        if (path.equals(CHAT)) {
            requireMethod(exchange, "POST");
            chat(configuration, team, exchange, id);
        } else if (path.equals(MODELS)) {
            requireMethod(exchange, "GET");
            models(team, exchange);
        } else if (path.startsWith(SERVICES)) {
            service(configuration, team, exchange, id);
        } else {
            throw refuse(
                    Reason.UNKNOWN_SERVICE,
                    "no such path; there are " + CHAT + ", " + MODELS + " and " + SERVICES);
        }
    }

    private void chat(
            final Configuration configuration,
            final Team team,
            final ServerExchange exchange,
            final RequestId id)
            throws RefusedException {
        final ChatRequest request = ChatRequest.parse(exchange);
        final Profile profile = profile(configuration, team, request.profile());
        if (!profile.idempotent() && request.idempotencyKey().isEmpty()) {
            throw refuse(
                    Reason.KEY_REQUIRED,
                    "profile "
                            + profile.id()
                            + " runs a request at most once and needs the header Idempotency-Key");
        }
        final Optional<Session> session = session(configuration, request);
        admit(team);
        final LoopContext loop = loops.apply(exchange.eventLoop());
        new ChatRun(services, loop, exchange, team, profile, request, session, id).start();
    }

    private void service(
            final Configuration configuration,
            final Team team,
            final ServerExchange exchange,
            final RequestId id)
            throws RefusedException {
        final String rest = exchange.uri().substring(SERVICES.length());
        final int slash = rest.indexOf('/');
        final String name = slash < 0 ? rest : rest.substring(0, slash);
        final String target = slash < 0 ? "/" : rest.substring(slash);
        final ServiceName service = serviceName(configuration, name);
        final Optional<String> key = ChatRequest.key(exchange);
        admit(team);
        final LoopContext loop = loops.apply(exchange.eventLoop());
        new ServiceRun(services, loop, exchange, team, service, target, key, id).start();
    }

    private static ServiceName serviceName(final Configuration configuration, final String name)
            throws RefusedException {
        try {
            final ServiceName service = ServiceName.of(name);
            final boolean isDeclared =
                    configuration.backendServers().stream()
                            .anyMatch(s -> s.service().filter(service::equals).isPresent());
            if (isDeclared) {
                return service;
            }
        } catch (final IllegalArgumentException e) {
            throw refuse(Reason.UNKNOWN_SERVICE, e.getMessage());
        }
        throw refuse(Reason.UNKNOWN_SERVICE, "no service '" + name + "' is declared");
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
            throws RefusedException {
        final String header = exchange.headers().get("authorization", "");
        if (header.startsWith(BEARER)) {
            final String key = header.substring(BEARER.length()).trim();
            for (final Team team : configuration.teams()) {
                if (team.key().matches(key)) {
                    return team;
                }
            }
        }
        throw refuse(Reason.UNAUTHENTICATED, "a team's key is needed: Authorization: Bearer KEY");
    }

    private static Profile profile(
            final Configuration configuration, final Team team, final ProfileId id)
            throws RefusedException {
        final Optional<Profile> profile = configuration.profile(id);
        if (profile.isEmpty() || !team.profiles().contains(id)) {
            throw refuse(
                    Reason.UNKNOWN_PROFILE,
                    "no profile '"
                            + id
                            + "' for this team; allowed are "
                            + team.profiles().stream().sorted().toList());
        }
        return profile.get();
    }

    private static Optional<Session> session(
            final Configuration configuration, final ChatRequest request) throws RefusedException {
        final Optional<String> token =
                request.session().filter(s -> !s.equals(ChatRequest.NEW_SESSION));
        if (token.isEmpty()) {
            return Optional.empty();
        }
        try {
            final Session session = SessionTokens.verify(configuration.keys(), token.get());
            if (!session.profile().equals(request.profile())) {
                throw refuse(
                        Reason.INVALID_SESSION,
                        "the session was begun on profile " + session.profile());
            }
            return Optional.of(session);
        } catch (final InvalidTokenException | IllegalArgumentException e) {
            throw refuse(Reason.INVALID_SESSION, e.getMessage());
        }
    }

    private void admit(final Team team) throws RefusedException {
        final Optional<Outcome.NotRun> refusal = services.admission().begin(team);
        if (refusal.isPresent()) {
            throw new RefusedException(refusal.get());
        }
    }

    private static void requireMethod(final ServerExchange exchange, final String method)
            throws RefusedException {
        if (!exchange.method().equals(method)) {
            throw refuse(Reason.MALFORMED, "use " + method + " on " + exchange.path());
        }
    }

    private static RefusedException refuse(final Reason reason, final String detail) {
        return new RefusedException(Outcome.notRun(reason, detail));
    }
}
