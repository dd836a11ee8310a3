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
 * Collects the outcomes and latencies that the callers of the load generator observe.
 *
 * <p>Latencies count from the due time of a request, not from when it was sent, so that a delay of
 * the generator does not hide a delay of the VMs. Thread-safe.
 */
final class LoadStatistics {

    private static final long MAX_MICROS = 120_000_000L;

    private final Histogram firstTokenMicros = new ConcurrentHistogram(MAX_MICROS, 3);
    private final Histogram completeMicros = new ConcurrentHistogram(MAX_MICROS, 3);
    private final Map<String, LongAdder> outcomes = new ConcurrentHashMap<>();
    private final Set<String> complete = new ConcurrentSkipListSet<>();
    private final Set<String> notRun = new ConcurrentSkipListSet<>();
    private final Set<String> mismatched = new ConcurrentSkipListSet<>();
    private final Set<String> completeKeys = new ConcurrentSkipListSet<>();
    private final LongAdder revisionDecreases = new LongAdder();

    void recordFirstToken(final long micros) {
        firstTokenMicros.recordValue(Math.min(MAX_MICROS, Math.max(0, micros)));
    }

    void recordComplete(final String requestId, final long micros) {
        completeMicros.recordValue(Math.min(MAX_MICROS, Math.max(0, micros)));
        complete.add(requestId);
    }

    void recordOutcome(final String outcome) {
        outcomes.computeIfAbsent(outcome, k -> new LongAdder()).increment();
    }

    /** Records a request that a VM rejected with the statement that it was not run. */
    void recordNotRun(final String requestId) {
        notRun.add(requestId);
    }

    /** Records a response that is truncated or belongs to another request. */
    void recordMismatch(final String requestId) {
        mismatched.add(requestId);
    }

    void recordCompleteKey(final String idempotencyKey) {
        completeKeys.add(idempotencyKey);
    }

    /** Records that the configuration revision of a VM decreased. */
    void recordRevisionDecrease() {
        revisionDecreases.increment();
    }

    /** Writes the files that {@link CheckMain} reads. */
    void write(final Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.write(directory.resolve("complete.txt"), complete);
        Files.write(directory.resolve("not-run.txt"), notRun);
        Files.write(directory.resolve("foreign.txt"), mismatched);
        Files.write(directory.resolve("keys-complete.txt"), completeKeys);
        Files.writeString(directory.resolve("reverts.txt"), revisionDecreases.sum() + "\n");
    }

    /**
     * Returns a report for the console.
     *
     * @param seconds the duration of the load; seconds
     * @return the report, several lines
     */
    String summary(final double seconds) {
        final StringBuilder text = new StringBuilder();
        text.append("outcomes ").append(new java.util.TreeMap<>(outcomes)).append('\n');
        text.append(String.format("complete per second %.1f%n", complete.size() / seconds));
        text.append(line("first token ms", firstTokenMicros))
                .append(line("complete response ms", completeMicros));
        text.append("truncated or mismatched responses ").append(mismatched.size()).append('\n');
        text.append("configuration revision decreases ")
                .append(revisionDecreases.sum())
                .append('\n');
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
