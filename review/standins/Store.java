import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for the platform's metadata store: lists, watches, POST, PUT and DELETE of objects, with
 * one revision counter and conditional writes. Thread-safe; all state is guarded by this object.
 */
final class Store implements AutoCloseable {

    private static final Pattern PARAMETER = Pattern.compile("(watch|waitMs)=([0-9]{1,18})");
    private static final Pattern REVISION = Pattern.compile("\"revision\":([0-9]{1,18})");
    private static final Pattern NAME = Pattern.compile("\"name\":\"([^\"]+)\"");

    private static final class Entry {
        private final String name;
        private long revision;
        private long created;
        private String spec = "null";
        private String status = "null";

        private Entry(final String name) {
            this.name = name;
        }

        private String json() {
            return Wire.name("object").formatted(name, revision, created, spec, status);
        }
    }

    private record Event(String kind, long revision, boolean deleted, String object) {}

    private final Map<String, TreeMap<String, Entry>> kinds = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final HttpServer server;
    private long revision = 100;

    Store(final String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 0);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            final Thread thread = new Thread(task, "store");
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext(Wire.name("objectsPath"), this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress()
                + ":"
                + server.getAddress().getPort();
    }

    /** Writes the spec of an object, as the operator or a worker does, and returns its revision. */
    synchronized long put(final String kind, final String name, final String spec) {
        final Entry entry = entry(kind, name);
        entry.spec = spec;
        return changed(kind, entry);
    }

    /** Removes an object. */
    synchronized void remove(final String kind, final String name) {
        final Entry entry = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (entry != null) {
            revision++;
            entry.revision = revision;
            events.add(new Event(kind, revision, true, entry.json()));
            notifyAll();
        }
    }

    /** Returns the status of an object as JSON, "null" if it has none. */
    synchronized String status(final String kind, final String name) {
        final Entry entry = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return entry == null ? "null" : entry.status;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private Entry entry(final String kind, final String name) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>())
                .computeIfAbsent(name, Entry::new);
    }

    private long changed(final String kind, final Entry entry) {
        revision++;
        entry.revision = revision;
        entry.created = entry.created == 0 ? revision : entry.created;
        events.add(new Event(kind, revision, false, entry.json()));
        notifyAll();
        return revision;
    }

    private void handle(final HttpExchange exchange) throws IOException {
        try (exchange) {
            final String body =
                    new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            final String[] path = exchange.getRequestURI().getPath().split("/");
            final String kind = path[3];
            final String query = String.valueOf(exchange.getRequestURI().getQuery());
            switch (exchange.getRequestMethod()) {
                case "GET" -> respond(exchange, 200, read(kind, path, query));
                case "POST" -> create(exchange, kind, body);
                case "PUT" -> replace(exchange, kind, path, body);
                default -> {
                    remove(kind, path[4]);
                    respond(exchange, 200, "{}");
                }
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String read(final String kind, final String[] path, final String query)
            throws InterruptedException {
        return query.contains("watch=") ? watch(kind, query) : list(kind);
    }

    private synchronized String list(final String kind) {
        final List<String> entries =
                kinds.getOrDefault(kind, new TreeMap<>()).values().stream()
                        .map(Entry::json)
                        .toList();
        return Wire.name("list").formatted(String.join(",", entries), revision);
    }

    private synchronized String watch(final String kind, final String query)
            throws InterruptedException {
        final long since = parameter(query, "watch");
        final long end = System.nanoTime() + parameter(query, "waitMs") * 1_000_000;
        while (true) {
            final List<String> news =
                    events.stream()
                            .filter(e -> e.kind().equals(kind) && e.revision() > since)
                            .map(e -> "{\"deleted\":" + e.deleted() + ",\"object\":" + e.object() + "}")
                            .toList();
            final long remaining = (end - System.nanoTime()) / 1_000_000;
            if (!news.isEmpty() || remaining <= 0) {
                return "{\"events\":[%s],\"at\":%d}".formatted(String.join(",", news), revision);
            }
            wait(remaining);
        }
    }

    private static long parameter(final String query, final String name) {
        final Matcher matcher = PARAMETER.matcher(query);
        while (matcher.find()) {
            if (matcher.group(1).equals(name)) {
                return Long.parseLong(matcher.group(2));
            }
        }
        return 0;
    }

    private synchronized void create(
            final HttpExchange exchange, final String kind, final String body) throws IOException {
        final Matcher name = NAME.matcher(body);
        if (!name.find()) {
            respond(exchange, 400, "{}");
            return;
        }
        if (kinds.getOrDefault(kind, new TreeMap<>()).containsKey(name.group(1))) {
            respond(exchange, 409, entry(kind, name.group(1)).json());
            return;
        }
        final Entry entry = entry(kind, name.group(1));
        entry.spec = field(body, "spec");
        changed(kind, entry);
        respond(exchange, 201, entry.json());
    }

    private synchronized void replace(
            final HttpExchange exchange, final String kind, final String[] path, final String body)
            throws IOException {
        final Entry entry = kinds.getOrDefault(kind, new TreeMap<>()).get(path[4]);
        if (entry == null) {
            respond(exchange, 404, "{}");
            return;
        }
        final Matcher given = REVISION.matcher(body);
        if (given.find() && Long.parseLong(given.group(1)) != entry.revision) {
            respond(exchange, 409, entry.json());
            return;
        }
        if (path.length > 5) {
            entry.status = field(body, "status");
        } else {
            entry.spec = field(body, "spec");
        }
        changed(kind, entry);
        respond(exchange, 200, entry.json());
    }

    /** Returns the JSON object that a field of the body holds. */
    private static String field(final String body, final String name) {
        final int key = body.indexOf("\"" + name + "\":{");
        if (key < 0) {
            return "null";
        }
        final int start = body.indexOf('{', key);
        int depth = 0;
        for (int i = start; i < body.length(); i++) {
            depth += body.charAt(i) == '{' ? 1 : body.charAt(i) == '}' ? -1 : 0;
            if (depth == 0) {
                return body.substring(start, i + 1);
            }
        }
        return "null";
    }

    private static void respond(final HttpExchange exchange, final int status, final String json)
            throws IOException {
        final byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
