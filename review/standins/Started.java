import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** A process that a case started, with what it has printed. Thread-safe. */
final class Started implements AutoCloseable {

    private final String name;
    private final Process process;
    private final List<String> lines = new ArrayList<>();

    Started(final String name, final ProcessBuilder builder) throws IOException {
        this.name = name;
        this.process = builder.redirectErrorStream(true).start();
        final Thread reader = new Thread(this::read, name + "-output");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader reader = process.inputReader()) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                synchronized (this) {
                    lines.add(line);
                    notifyAll();
                }
            }
        } catch (final IOException e) {
            // The process was ended.
        }
    }

    String name() {
        return name;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    synchronized List<String> lines() {
        return List.copyOf(lines);
    }

    /** Waits until the process prints a line, and returns it. */
    synchronized String await(final Predicate<String> wanted, final long millis)
            throws IOException, InterruptedException {
        final long end = System.nanoTime() + millis * 1_000_000;
        while (true) {
            for (final String line : lines) {
                if (wanted.test(line)) {
                    return line;
                }
            }
            final long remaining = (end - System.nanoTime()) / 1_000_000;
            if (remaining <= 0) {
                throw new IOException(name + " did not print what was awaited");
            }
            wait(remaining);
        }
    }

    /** Sends a signal to this process, by its id. */
    void signal(final String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() throws IOException {
        try {
            signal("CONT");
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
