package org.fennelstage.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * What callers saw. Latencies are counted from the moment at which a request was due, not from when
 * it was sent, so that a stalled generator does not hide a stalled router. Thread-safe.
 */
final class LoadTally {

    private static final long MOST_MICROS = 120_000_000L;

    private final Histogram firstToken = new ConcurrentHistogram(MOST_MICROS, 3);
    private final Histogram whole = new ConcurrentHistogram(MOST_MICROS, 3);
    private final Map<String, LongAdder> outcomes = new ConcurrentHashMap<>();
    private final Set<String> complete = new ConcurrentSkipListSet<>();
    private final Set<String> notRun = new ConcurrentSkipListSet<>();
    private final Set<String> foreign = new ConcurrentSkipListSet<>();
    private final Set<String> keysComplete = new ConcurrentSkipListSet<>();
    private final LongAdder reverts = new LongAdder();

    void firstToken(final long micros) {
        firstToken.recordValue(Math.min(MOST_MICROS, Math.max(0, micros)));
    }

    void complete(final String request, final long micros) {
        whole.recordValue(Math.min(MOST_MICROS, Math.max(0, micros)));
        complete.add(request);
    }

    void outcome(final String kind) {
        outcomes.computeIfAbsent(kind, k -> new LongAdder()).increment();
    }

    void notRun(final String request) {
        notRun.add(request);
    }

    void foreign(final String request) {
        foreign.add(request);
    }

    void keyComplete(final String key) {
        keysComplete.add(key);
    }

    void revert() {
        reverts.increment();
    }

    void write(final Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.write(directory.resolve("complete.txt"), complete);
        Files.write(directory.resolve("not-run.txt"), notRun);
        Files.write(directory.resolve("foreign.txt"), foreign);
        Files.write(directory.resolve("keys-complete.txt"), keysComplete);
        Files.writeString(directory.resolve("reverts.txt"), reverts.sum() + "\n");
    }

    String summary(final double seconds) {
        final StringBuilder text = new StringBuilder();
        text.append("outcomes ").append(new java.util.TreeMap<>(outcomes)).append('\n');
        text.append(String.format("complete per second %.1f%n", complete.size() / seconds));
        text.append(line("first token ms", firstToken)).append(line("whole answer ms", whole));
        text.append("foreign or partial answers ").append(foreign.size()).append('\n');
        text.append("configuration reverts seen ").append(reverts.sum()).append('\n');
        return text.toString();
    }

    private static String line(final String name, final Histogram histogram) {
        return String.format(
                "%s p50 %.2f p95 %.2f p99 %.2f max %.2f%n",
                name,
                histogram.getValueAtPercentile(50) / 1000.0,
                histogram.getValueAtPercentile(95) / 1000.0,
                histogram.getValueAtPercentile(99) / 1000.0,
                histogram.getMaxValue() / 1000.0);
    }
}
