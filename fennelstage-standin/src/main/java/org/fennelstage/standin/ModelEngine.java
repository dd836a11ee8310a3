package org.fennelstage.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.fennelstage.http.HttpServer;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.http.ServerLimits;
import org.fennelstage.id.VersionId;
import org.fennelstage.objects.Json;

/**
 * A stand-in model engine with continuous batching, a bounded prefix cache and a delayed load
 * report.
 *
 * <p>{@code POST /v1/chat/completions} streams tokens as server-sent events; {@code GET /load}
 * returns the delayed load; {@code GET /admin/executions} lists the requests that ran. Answers
 * contain their quality as {@code [[q=…]]}, which the rating stand-in reads.
 *
 * <p>Thread-safe; one monitor guards the mutable state.
 */
public final class ModelEngine implements AutoCloseable {

    private static final ServerLimits LIMITS =
            ServerLimits.of(16 * 1024, 1024 * 1024, Duration.ofMinutes(5));
    private static final int MAX_PREFIX_CHARACTERS = 64;
    private static final int MAX_CACHED_PREFIXES = 64;
    private static final double CACHED_PREFILL_FACTOR = 0.2;
    private static final double SLOWDOWN_PER_REQUEST = 0.03;
    private static final double QUALITY_STANDARD_DEVIATION = 0.08;
    private static final long REPORT_PERIOD_MILLIS = 500;

    private final Map<VersionId, VersionBehaviour> versions;
    private final int slots;
    private final Random random;
    private final PrefixCache cache = new PrefixCache(MAX_CACHED_PREFIXES);
    private final Queue<EngineRequest> queue = new ArrayDeque<>();
    private final List<Execution> executions = new ArrayList<>();
    private int running;
    private int prefixHits;
    private volatile Load reported = new Load(0, 0, 0);
    private HttpServer server;

    private ModelEngine(final List<VersionBehaviour> behaviours, final int slots, final long seed) {
        this.versions = new TreeMap<>();
        behaviours.forEach(b -> versions.put(b.version(), b));
        this.slots = slots;
        this.random = new Random(seed);
    }

    /**
     * The load that the engine reports. Immutable and thread-safe.
     *
     * @param running the number of requests in the batch
     * @param queued the number of waiting requests
     * @param prefixHits the number of prompts since the start whose prefix was cached
     */
    public record Load(int running, int queued, int prefixHits) {}

    /**
     * A request that ran. Immutable and thread-safe.
     *
     * @param request the request id set by the router, empty if none
     * @param key the idempotency key of the caller, empty if none
     * @param version the version that ran the request, empty for a plain service
     * @param atMillis the start time, in milliseconds since the epoch
     */
    public record Execution(String request, String key, String version, long atMillis) {}

    private record EngineRequest(
            ServerExchange exchange,
            VersionBehaviour behaviour,
            String prompt,
            int tokens,
            double quality,
            double confidence) {}

    /**
     * Starts an engine.
     *
     * @param group the event loops
     * @param address the address to listen on; port 0 selects a free port
     * @param behaviours the behaviour of each loaded version
     * @param slots the maximum number of concurrent requests
     * @param seed the seed of random failures, truncations and quality
     * @return the running engine
     * @throws IOException if the address cannot be bound
     */
    public static ModelEngine start(
            final EventLoopGroup group,
            final InetSocketAddress address,
            final List<VersionBehaviour> behaviours,
            final int slots,
            final long seed)
            throws IOException {
        final ModelEngine engine = new ModelEngine(behaviours, slots, seed);
        engine.server = HttpServer.start(group, address, LIMITS, engine::handle);
        group.next()
                .scheduleWithFixedDelay(
                        engine::updateReport,
                        REPORT_PERIOD_MILLIS,
                        REPORT_PERIOD_MILLIS,
                        TimeUnit.MILLISECONDS);
        return engine;
    }

    public int port() {
        return server.port();
    }

    /**
     * Replaces the behaviour of a version for requests received from now on.
     *
     * @param behaviour the new behaviour
     */
    public synchronized void behave(final VersionBehaviour behaviour) {
        versions.put(behaviour.version(), behaviour);
    }

    /**
     * Returns all requests that ran, in the order of their start.
     *
     * @return an immutable copy of the executions
     */
    public synchronized List<Execution> executions() {
        return List.copyOf(executions);
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(final ServerExchange exchange) {
        switch (exchange.path()) {
            case "/v1/chat/completions" -> complete(exchange);
            case "/load" -> respondJson(exchange, reported);
            case "/admin/executions" -> respondJson(exchange, executions());
            default -> exchange.respond(404, "text/plain", "no such path\n");
        }
    }

    private void complete(final ServerExchange exchange) {
        final JsonNode body;
        try {
            body = Json.mapper().readTree(exchange.body());
        } catch (final IOException e) {
            exchange.respond(400, "text/plain", "malformed\n");
            return;
        }
        final VersionBehaviour behaviour = findBehaviour(body.path("model").asText());
        if (behaviour == null) {
            exchange.respond(404, "text/plain", "version not loaded\n");
            return;
        }
        final String prompt = body.path("messages").toString();
        final EngineRequest request;
        synchronized (this) {
            final double quality = quality(behaviour, prompt);
            final double confidence =
                    clamp(quality + random.nextGaussian() * QUALITY_STANDARD_DEVIATION);
            request =
                    new EngineRequest(
                            exchange, behaviour, prompt, tokens(body), quality, confidence);
        }
        synchronized (this) {
            if (running >= slots) {
                queue.add(request);
                return;
            }
            running++;
        }
        startRequest(request);
    }

    private synchronized VersionBehaviour findBehaviour(final String name) {
        try {
            return versions.get(VersionId.parse(name));
        } catch (final IllegalArgumentException e) {
            return null;
        }
    }

    private void startRequest(final EngineRequest request) {
        final double prefill;
        final boolean fails;
        final int tokens;
        synchronized (this) {
            final var headers = request.exchange().headers();
            executions.add(
                    new Execution(
                            headers.get("x-request-id", ""),
                            headers.get("idempotency-key", ""),
                            request.behaviour().version().toString(),
                            System.currentTimeMillis()));
            final int end = Math.min(MAX_PREFIX_CHARACTERS, request.prompt().length());
            final boolean hit = cache.touch(request.prompt().substring(0, end));
            prefixHits += hit ? 1 : 0;
            prefill = request.behaviour().prefillMillis() * (hit ? CACHED_PREFILL_FACTOR : 1);
            fails = random.nextDouble() < request.behaviour().errors();
            final boolean truncated = random.nextDouble() < request.behaviour().truncations();
            tokens = truncated ? Math.max(1, request.tokens() / 2) : request.tokens();
        }
        request.exchange()
                .eventLoop()
                .schedule(
                        () -> respond(request, fails, tokens),
                        Math.max(1, Math.round(prefill)),
                        TimeUnit.MILLISECONDS);
    }

    private void respond(final EngineRequest request, final boolean fails, final int tokens) {
        if (fails) {
            request.exchange().respond(500, "text/plain", "engine failure\n");
            release();
            return;
        }
        request.exchange().begin(200, Map.of("content-type", "text/event-stream"));
        emit(request, 0, tokens);
    }

    private void emit(final EngineRequest request, final int index, final int tokens) {
        if (request.exchange().isEnded()) {
            release();
            return;
        }
        if (index == tokens) {
            finish(request, tokens);
            return;
        }
        write(request, chunk(request, text(request, index), null, Optional.empty()));
        final double slowdown;
        synchronized (this) {
            slowdown = 1 + SLOWDOWN_PER_REQUEST * Math.max(0, running - 1);
        }
        final long delayMicros = Math.round(request.behaviour().tokenMillis() * slowdown * 1000);
        request.exchange()
                .eventLoop()
                .schedule(
                        () -> emit(request, index + 1, tokens), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void finish(final EngineRequest request, final int tokens) {
        final String finishReason = tokens < request.tokens() ? "length" : "stop";
        write(request, chunk(request, "", finishReason, Optional.of(tokens)));
        write(request, "[DONE]");
        request.exchange().end();
        release();
    }

    private void release() {
        final EngineRequest next;
        synchronized (this) {
            running--;
            next = pollConnected();
            if (next != null) {
                running++;
            }
        }
        if (next != null) {
            next.exchange().eventLoop().execute(() -> startRequest(next));
        }
    }

    private EngineRequest pollConnected() {
        EngineRequest next = queue.poll();
        while (next != null && next.exchange().isEnded()) {
            next = queue.poll();
        }
        return next;
    }

    private String text(final EngineRequest request, final int index) {
        return index == 0
                ? String.format(Locale.ROOT, "[[q=%.3f]] ", request.quality())
                        + echo(request.prompt())
                : "token" + index + " ";
    }

    /** Copies the mark {@code r} of the prompt, so that a caller can match the answer to it. */
    private static String echo(final String prompt) {
        final var mark = Marks.read(prompt, "r");
        return mark.isPresent() ? "[[r=" + (long) mark.getAsDouble() + "]] " : "";
    }

    private double quality(final VersionBehaviour behaviour, final String prompt) {
        final double difficulty = Marks.read(prompt, "d").orElse(0);
        return clamp(
                behaviour.skill()
                        - difficulty
                        + random.nextGaussian() * QUALITY_STANDARD_DEVIATION);
    }

    private static double clamp(final double value) {
        return Math.max(0, Math.min(1, value));
    }

    private static String chunk(
            final EngineRequest request,
            final String content,
            final String finishReason,
            final Optional<Integer> tokens) {
        final var node = Json.mapper().createObjectNode();
        node.put("object", "chat.completion.chunk");
        node.put("model", request.behaviour().version().toString());
        final var choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta").put("content", content);
        choice.put("finish_reason", finishReason);
        tokens.ifPresent(
                t ->
                        node.putObject("usage")
                                .put("completion_tokens", t)
                                .put("confidence", request.confidence()));
        return node.toString();
    }

    private static void write(final EngineRequest request, final String data) {
        request.exchange()
                .write(Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8));
    }

    private synchronized void updateReport() {
        reported = new Load(running, queue.size(), prefixHits);
    }

    private static int tokens(final JsonNode body) {
        return (int)
                Marks.read(body.path("messages").toString(), "t")
                        .orElse(body.path("max_tokens").asInt(16));
    }

    private static void respondJson(final ServerExchange exchange, final Object value) {
        exchange.respond(200, Map.of("content-type", "application/json"), Json.write(value));
    }
}
