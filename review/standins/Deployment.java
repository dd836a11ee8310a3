import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: a store in this process, workers and VMs as processes of their own.
 * The VMs are started by the command of the deploy file. Not thread-safe, except for {@link #note}.
 */
final class Deployment implements AutoCloseable {

    static final String HOST = "shop.example";
    static final String KEY = "key-of-team-a";
    static final String SERVICE = "portal";

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]+)\"$");
    private static final long START_MILLIS = 30_000;

    /** A VM and the address on which it serves callers. */
    record Vm(Started process, InetSocketAddress callers, InetSocketAddress readiness) {}

    private final Path directory;
    private final Path record;
    private final String ip;
    private final Store store;
    private final List<Started> processes = new ArrayList<>();
    private int count;

    Deployment(final Path record) throws IOException {
        final Random random = new Random();
        this.record = record;
        // Each run has its own loopback address: the deploy file fixes the port of the metrics.
        this.ip = "127.%d.%d.".formatted(1 + random.nextInt(250), random.nextInt(250));
        this.directory = Files.createTempDirectory("review");
        Files.writeString(record, "");
        this.store = new Store(ip + 1);
        writeConfiguration();
    }

    Store store() {
        return store;
    }

    /** Adds a line to the record. */
    synchronized void note(final String line) {
        final String text = LocalTime.now() + " " + line + System.lineSeparator();
        System.out.print(text);
        try {
            Files.writeString(record, text, java.nio.file.StandardOpenOption.APPEND);
        } catch (final IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** The limits are those of the example on the wire; the routes are plain ones of the sheets. */
    private void writeConfiguration() throws IOException {
        store.put(
                "config",
                "main",
                Wire.text("configuration.json")
                        .formatted(HOST, SERVICE, KEY)
                        .replace("\n", ""));
    }

    /** Starts a worker and registers it. */
    Started startWorker() throws IOException, InterruptedException {
        count++;
        final String uid = "i-worker" + count;
        final Started worker =
                new Started(
                        uid,
                        new ProcessBuilder(
                                "java",
                                "-Xmx64m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "Worker",
                                ip + 1,
                                uid));
        processes.add(worker);
        final String port = worker.await(l -> l.startsWith("port "), START_MILLIS).substring(5);
        store.put(
                "servers",
                uid,
                Wire.text("server.json")
                        .formatted(SERVICE, ip + 1, port, System.currentTimeMillis())
                        .strip());
        note("worker " + uid + " ready at " + ip + 1 + ":" + port);
        return worker;
    }

    /** Starts a VM by the command of the deploy file and waits until it is ready. */
    Vm startVm() throws IOException, InterruptedException {
        count++;
        final String name = "edge-zone-a-" + count;
        final String vmIp = ip + (1 + count);
        final int callers = freePort(vmIp);
        final int readiness = freePort(vmIp);
        final int peers = freePort(vmIp);
        final Path settings = directory.resolve(name + ".json");
        Files.writeString(
                settings,
                Wire.text("settings.json")
                        .formatted(name, vmIp, callers, readiness, peers, store.address()));
        final ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put(Wire.name("settingsVariable"), settings.toString());
        final Started process = new Started(name, builder);
        processes.add(process);
        final Vm vm =
                new Vm(
                        process,
                        new InetSocketAddress(vmIp, callers),
                        new InetSocketAddress(vmIp, readiness));
        awaitReady(vm);
        note("VM " + name + " ready at " + vmIp + ":" + callers);
        return vm;
    }

    private static List<String> command() throws IOException {
        final Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run command in the deploy file");
        }
        return List.of(run.group(1).split(" "));
    }

    private static int freePort(final String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    private static void awaitReady(final Vm vm) throws IOException, InterruptedException {
        final long end = System.nanoTime() + START_MILLIS * 1_000_000;
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket(vm.readiness().getAddress(), vm.readiness().getPort())) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET %s HTTP/1.1\r\nHost: a\r\n\r\n"
                                .formatted(Wire.name("readinessPath"))
                                .getBytes(StandardCharsets.ISO_8859_1));
                final byte[] head = socket.getInputStream().readNBytes(12);
                if (new String(head, StandardCharsets.ISO_8859_1).endsWith(" 200")) {
                    return;
                }
            } catch (final IOException e) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        throw new IOException("the VM did not become ready: " + vm.process().lines());
    }

    /** Returns the head of a request of a caller, without the blank line at its end. */
    static String head(final String method, final String path, final String id, final int deadline) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST
                + "\r\n" + Wire.name("requestId") + ": " + id
                + "\r\n" + Wire.name("deadline") + ": " + deadline
                + "\r\nAuthorization: Token " + KEY + "\r\n";
    }

    /** Writes what the processes printed into the record, then ends them. */
    @Override
    public void close() throws IOException {
        for (final Started process : processes) {
            if (process.name().startsWith("i-")) {
                process.lines().forEach(line -> note(process.name() + ": " + line));
            }
        }
        for (final Started process : processes) {
            process.close();
        }
        store.close();
        try (var files = Files.list(directory)) {
            for (final Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
