package org.fennelstage.canary;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.fennelstage.time.MonotonicClock;

/**
 * Versions that other VMs report as the target of a running or halted order unknown to this VM.
 *
 * <p>A store that was restored from an older copy may have lost the order, and the version's
 * backend servers then look like those of the version in use. Invariant: a version is contained for
 * {@link #REPORT_LIFETIME_MILLIS} after the last report. Not thread-safe.
 */
final class ReportedVersions {

    /**
     * How long a report counts; milliseconds. Long enough to tolerate lost datagrams, since each VM
     * receives several reports per second.
     */
    static final long REPORT_LIFETIME_MILLIS = 2_000;

    private final MonotonicClock clock;
    private final Map<String, Long> untilMillis = new HashMap<>();

    private ReportedVersions(final MonotonicClock clock) {
        this.clock = clock;
    }

    static ReportedVersions of(final MonotonicClock clock) {
        return new ReportedVersions(Objects.requireNonNull(clock, "clock is null"));
    }

    /** Records that another VM reported a version. */
    void onReported(final String version) {
        untilMillis.put(version, clock.millis() + REPORT_LIFETIME_MILLIS);
    }

    boolean contains(final String version) {
        return untilMillis.getOrDefault(version, Long.MIN_VALUE) > clock.millis();
    }

    @Override
    public String toString() {
        return "ReportedVersions" + untilMillis.keySet();
    }
}
