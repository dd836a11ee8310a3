package org.fennelstage.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.http.HttpServer;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.http.ServerLimits;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.ChangesResult;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.MalformedValueException;
import org.fennelstage.objects.MemoryObjectStore;
import org.fennelstage.objects.ObjectApiProtocol;
import org.fennelstage.objects.WriteResult;

/**
 * A stand-in for the object API over HTTP. {@code PUT /admin/faults} injects faults; {@code GET
 * /admin/counts} returns the number of calls.
 *
 * <p>Thread-safe.
 */
public final class ObjectApiStandIn implements AutoCloseable {

    private static final String FAULTS = "/admin/faults";
    private static final String COUNTS = "/admin/counts";
    private static final ServerLimits LIMITS =
            ServerLimits.of(16 * 1024, 1024 * 1024, Duration.ofMinutes(5));

    private final MemoryObjectStore store;
    private final Random random;
    private final Map<ObjectKey, StoredObject> previous = new ConcurrentHashMap<>();
    private final LongAdder reads = new LongAdder();
    private final LongAdder writes = new LongAdder();
    private final LongAdder watches = new LongAdder();
    private volatile ObjectApiFaults faults = ObjectApiFaults.NONE;
    private HttpServer server;

    private ObjectApiStandIn(final MemoryObjectStore store, final long seed) {
        this.store = store;
        this.random = new Random(seed);
    }

    /**
     * The number of calls since the start. Immutable and thread-safe.
     *
     * @param reads the number of reads and of lists that do not wait
     * @param writes the number of writes and deletions
     * @param watches the number of watches (long polls)
     */
    public record Counts(long reads, long writes, long watches) {}

    /**
     * Starts a stand-in.
     *
     * @param group the event loops
     * @param address the address to listen on; port 0 selects a free port
     * @param store the store that it serves
     * @param seed the seed that selects the calls affected by random faults
     * @return the running stand-in
     * @throws IOException if the address cannot be bound
     */
    public static ObjectApiStandIn start(
            final EventLoopGroup group,
            final InetSocketAddress address,
            final MemoryObjectStore store,
            final long seed)
            throws IOException {
        final ObjectApiStandIn standIn = new ObjectApiStandIn(store, seed);
        standIn.server = HttpServer.start(group, address, LIMITS, standIn::handle);
        return standIn;
    }

    public int port() {
        return server.port();
    }

    public Counts counts() {
        return new Counts(reads.sum(), writes.sum(), watches.sum());
    }

    /**
     * Sets the faults to inject from now on.
     *
     * @param next the new faults
     */
    public void faults(final ObjectApiFaults next) {
        faults = next;
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(final ServerExchange exchange) {
        final String path = exchange.path();
        if (path.equals(FAULTS)) {
            changeFaults(exchange);
        } else if (path.equals(COUNTS)) {
            respondJson(exchange, 200, counts());
        } else if (faults.down()) {
            exchange.abort();
        } else if (faults.delayMillis() > 0) {
            exchange.eventLoop()
                    .schedule(
                            () -> serve(exchange, path),
                            faults.delayMillis(),
                            TimeUnit.MILLISECONDS);
        } else {
            serve(exchange, path);
        }
    }

    private void serve(final ServerExchange exchange, final String path) {
        if (path.equals(ObjectApiProtocol.CHANGES)) {
            changes(exchange);
        } else if (!path.startsWith(ObjectApiProtocol.OBJECTS)) {
            exchange.respond(404, "text/plain", "no such path\n");
        } else {
            final ObjectKey key = new ObjectKey(path.substring(ObjectApiProtocol.OBJECTS.length()));
            switch (exchange.method()) {
                case "GET" -> read(exchange, key);
                case "PUT" -> write(exchange, key, Optional.of(exchange.body()));
                case "DELETE" -> write(exchange, key, Optional.empty());
                default -> exchange.respond(405, "text/plain", "method not allowed\n");
            }
        }
    }

    private void changeFaults(final ServerExchange exchange) {
        try {
            faults = Json.read(exchange.body(), ObjectApiFaults.class);
            respondJson(exchange, 200, faults);
        } catch (final MalformedValueException e) {
            exchange.respond(400, "text/plain", e.getMessage() + "\n");
        }
    }

    private void read(final ServerExchange exchange, final ObjectKey key) {
        reads.increment();
        final StoredObject current = store.current(key);
        final StoredObject stale = previous.get(key);
        final boolean useStale = stale != null && injectsFault(faults.staleReads());
        respond(exchange, 200, useStale ? stale : current);
    }

    private void write(
            final ServerExchange exchange, final ObjectKey key, final Optional<byte[]> value) {
        writes.increment();
        final Revision expected =
                Revision.of(
                        Long.parseLong(exchange.headers().get(ObjectApiProtocol.EXPECTED, "0")));
        final StoredObject before = store.current(key);
        final WriteResult result =
                value.map(v -> store.write(key, expected, v, CallPriority.NORMAL))
                        .orElseGet(() -> store.delete(key, expected, CallPriority.NORMAL))
                        .join();
        if (injectsFault(faults.lostAnswers())) {
            exchange.abort();
            return;
        }
        if (result instanceof WriteResult.Written written) {
            previous.put(key, before);
            exchange.respond(
                    200,
                    Map.of(ObjectApiProtocol.REVISION, written.revision().toString()),
                    new byte[0]);
        } else if (result instanceof WriteResult.Conflict conflict) {
            respond(exchange, 412, conflict.current());
        }
    }

    private void changes(final ServerExchange exchange) {
        final Map<String, List<String>> query = new QueryStringDecoder(exchange.uri()).parameters();
        final Duration wait = Duration.ofMillis(Long.parseLong(query.get("wait").get(0)));
        (wait.isZero() ? reads : watches).increment();
        store.changes(
                        query.get("prefix").get(0),
                        Revision.of(Long.parseLong(query.get("since").get(0))),
                        wait,
                        CallPriority.NORMAL)
                .thenAccept(
                        result ->
                                exchange.eventLoop()
                                        .execute(() -> respondChanges(exchange, result)));
    }

    private void respondChanges(final ServerExchange exchange, final ChangesResult result) {
        if (faults.down()) {
            exchange.abort();
        } else if (result instanceof ChangesResult.Changed changed) {
            final var objects = changed.objects().stream().map(ObjectApiStandIn::toWire).toList();
            respondJson(
                    exchange,
                    200,
                    new ObjectApiProtocol.WireChanges(changed.upTo().value(), objects));
        }
    }

    private boolean injectsFault(final double share) {
        synchronized (random) {
            return share > 0 && random.nextDouble() < share;
        }
    }

    private static void respond(
            final ServerExchange exchange, final int status, final StoredObject object) {
        final String revision = object.revision().toString();
        if (object.value().isPresent()) {
            exchange.respond(
                    status, Map.of(ObjectApiProtocol.REVISION, revision), object.value().get());
            return;
        }
        exchange.respond(
                status == 200 ? 404 : status,
                Map.of(ObjectApiProtocol.REVISION, revision, "x-deleted", "true"),
                new byte[0]);
    }

    private static void respondJson(
            final ServerExchange exchange, final int status, final Object value) {
        exchange.respond(status, Map.of("content-type", "application/json"), Json.write(value));
    }

    private static ObjectApiProtocol.WireObject toWire(final StoredObject object) {
        return new ObjectApiProtocol.WireObject(
                object.key().path(), object.revision().value(), object.value().orElse(null));
    }
}
