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
 * A model engine with continuous batching, a bounded prefix cache and a load report that lags.
 *
 * <p>{@code POST /v1/chat/completions} streams tokens as server-sent events; {@code GET /load}
 * gives the lagging load; {@code GET /admin/executions} lists the requests that ran. Answers carry
 * their quality as {@code [[q=…]]}, which the rating stand-in reads. One monitor guards its state.
 */
public final class ModelEngine implements AutoCloseable {

    private static final ServerLimits LIMITS =
            ServerLimits.of(16 * 1024, 1024 * 1024, Duration.ofMinutes(5));
    private static final int PREFIX_CHARACTERS = 64;
    private static final int CACHED_PREFIXES = 64;
    private static final double CACHED_PREFILL = 0.2;
    private static final double SLOWDOWN_PER_RUNNING = 0.03;
    private static final double QUALITY_NOISE = 0.08;
    private static final long REPORT_LAG_MILLIS = 500;

    private final Map<VersionId, VersionBehaviour> versions;
    private final int slots;
    private final Random random;
    private final PrefixCache cache = new PrefixCache(CACHED_PREFIXES);
    private final Queue<Run> queue = new ArrayDeque<>();
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
     * The load as the engine reports it, some time late.
     *
     * @param running requests in the batch
     * @param queued requests waiting
     * @param prefixHits prompts whose prefix was cached, since the start
     */
    public record Load(int running, int queued, int prefixHits) {}

    /**
     * One request that ran.
     *
     * @param request the router's request id
     * @param key the caller's idempotency key, empty if none
     * @param version what it ran on
     * @param atMillis when it began; milliseconds since the epoch
     */
    public record Execution(String request, String key, String version, long atMillis) {}

    private record Run(
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
     * @param address where to listen; port 0 takes any free one
     * @param behaviours its versions
     * @param slots how many requests it runs at once
     * @param seed decides which requests fail
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
                        engine::report,
                        REPORT_LAG_MILLIS,
                        REPORT_LAG_MILLIS,
                        TimeUnit.MILLISECONDS);
        return engine;
    }

    public int port() {
        return server.port();
    }

    /**
     * Changes how one version answers from now on.
     *
     * @param behaviour the version's new behaviour
     */
    public synchronized void behave(final VersionBehaviour behaviour) {
        versions.put(behaviour.version(), behaviour);
    }

    /**
     * Returns all requests that ran, in order.
     *
     * @return the executions
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
            case "/load" -> json(exchange, reported);
            case "/admin/executions" -> json(exchange, executions());
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
        final VersionBehaviour behaviour = find(body.path("model").asText());
        if (behaviour == null) {
            exchange.respond(404, "text/plain", "version not loaded\n");
            return;
        }
        final String prompt = body.path("messages").toString();
        final Run run;
        synchronized (this) {
            final double quality = quality(behaviour, prompt);
            final double confidence = clamp(quality + random.nextGaussian() * QUALITY_NOISE);
            run = new Run(exchange, behaviour, prompt, tokens(body), quality, confidence);
        }
        synchronized (this) {
            if (running >= slots) {
                queue.add(run);
                return;
            }
            running++;
        }
        begin(run);
    }

    private synchronized VersionBehaviour find(final String name) {
        try {
            return versions.get(VersionId.parse(name));
        } catch (final IllegalArgumentException e) {
            return null;
        }
    }

    private void begin(final Run run) {
        final double prefill;
        final boolean fails;
        final int tokens;
        synchronized (this) {
            final var headers = run.exchange().headers();
            executions.add(
                    new Execution(
                            headers.get("x-request-id", ""),
                            headers.get("idempotency-key", ""),
                            run.behaviour().version().toString(),
                            System.currentTimeMillis()));
            final int end = Math.min(PREFIX_CHARACTERS, run.prompt().length());
            final boolean hit = cache.touch(run.prompt().substring(0, end));
            prefixHits += hit ? 1 : 0;
            prefill = run.behaviour().prefillMillis() * (hit ? CACHED_PREFILL : 1);
            fails = random.nextDouble() < run.behaviour().errors();
            final boolean truncated = random.nextDouble() < run.behaviour().truncations();
            tokens = truncated ? Math.max(1, run.tokens() / 2) : run.tokens();
        }
        run.exchange()
                .eventLoop()
                .schedule(
                        () -> answer(run, fails, tokens),
                        Math.max(1, Math.round(prefill)),
                        TimeUnit.MILLISECONDS);
    }

    private void answer(final Run run, final boolean fails, final int tokens) {
        if (fails) {
            run.exchange().respond(500, "text/plain", "engine failure\n");
            release();
            return;
        }
        run.exchange().begin(200, Map.of("content-type", "text/event-stream"));
        emit(run, 0, tokens);
    }

    private void emit(final Run run, final int index, final int tokens) {
        if (run.exchange().isEnded()) {
            release();
            return;
        }
        if (index == tokens) {
            finish(run, tokens);
            return;
        }
        write(run, chunk(run, text(run, index), null, Optional.empty()));
        final double slowdown;
        synchronized (this) {
            slowdown = 1 + SLOWDOWN_PER_RUNNING * Math.max(0, running - 1);
        }
        final long wait = Math.round(run.behaviour().tokenMillis() * slowdown * 1000);
        run.exchange()
                .eventLoop()
                .schedule(() -> emit(run, index + 1, tokens), wait, TimeUnit.MICROSECONDS);
    }

    private void finish(final Run run, final int tokens) {
        final String reason = tokens < run.tokens() ? "length" : "stop";
        write(run, chunk(run, "", reason, Optional.of(tokens)));
        write(run, "[DONE]");
        run.exchange().end();
        release();
    }

    private void release() {
        final Run next;
        synchronized (this) {
            running--;
            next = pollLive();
            if (next != null) {
                running++;
            }
        }
        if (next != null) {
            next.exchange().eventLoop().execute(() -> begin(next));
        }
    }

    private Run pollLive() {
        Run next = queue.poll();
        while (next != null && next.exchange().isEnded()) {
            next = queue.poll();
        }
        return next;
    }

    private String text(final Run run, final int index) {
        return index == 0
                ? String.format(Locale.ROOT, "[[q=%.3f]] ", run.quality()) + echo(run.prompt())
                : "token" + index + " ";
    }

    /** Repeats the prompt's mark {@code r}, by which a caller sees that the answer is its own. */
    private static String echo(final String prompt) {
        final var mark = Marks.read(prompt, "r");
        return mark.isPresent() ? "[[r=" + (long) mark.getAsDouble() + "]] " : "";
    }

    private double quality(final VersionBehaviour behaviour, final String prompt) {
        final double difficulty = Marks.read(prompt, "d").orElse(0);
        return clamp(behaviour.skill() - difficulty + random.nextGaussian() * QUALITY_NOISE);
    }

    private static double clamp(final double value) {
        return Math.max(0, Math.min(1, value));
    }

    private static String chunk(
            final Run run,
            final String content,
            final String finishReason,
            final Optional<Integer> tokens) {
        final var node = Json.mapper().createObjectNode();
        node.put("object", "chat.completion.chunk");
        node.put("model", run.behaviour().version().toString());
        final var choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta").put("content", content);
        choice.put("finish_reason", finishReason);
        tokens.ifPresent(
                t ->
                        node.putObject("usage")
                                .put("completion_tokens", t)
                                .put("confidence", run.confidence()));
        return node.toString();
    }

    private static void write(final Run run, final String data) {
        run.exchange()
                .write(Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8));
    }

    private synchronized void report() {
        reported = new Load(running, queue.size(), prefixHits);
    }

    private static int tokens(final JsonNode body) {
        return (int)
                Marks.read(body.path("messages").toString(), "t")
                        .orElse(body.path("max_tokens").asInt(16));
    }

    private static void json(final ServerExchange exchange, final Object value) {
        exchange.respond(200, Map.of("content-type", "application/json"), Json.write(value));
    }
}
