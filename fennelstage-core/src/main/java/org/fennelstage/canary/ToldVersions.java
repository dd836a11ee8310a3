package org.fennelstage.canary;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.fennelstage.time.MonotonicClock;

/**
 * The versions of which other VMs tell that an order for them runs or was halted, and which this VM
 * does not know as ordered.
 *
 * <p>The store may have lost the order by coming back from an older copy; workers of the version
 * look there like those of the version in use. Law: a version is told of for {@link #TOLD_MILLIS}
 * after the last word. Not thread-safe.
 */
final class ToldVersions {

    /**
     * How long a word counts; milliseconds. Several words a second come to each VM, and some
     * datagrams are lost.
     */
    static final long TOLD_MILLIS = 2_000;

    private final MonotonicClock clock;
    private final Map<String, Long> untilMillis = new HashMap<>();

    private ToldVersions(final MonotonicClock clock) {
        this.clock = clock;
    }

    static ToldVersions of(final MonotonicClock clock) {
        return new ToldVersions(Objects.requireNonNull(clock, "clock is null"));
    }

    /** Notes that another VM tells of a version. */
    void onTold(final String version) {
        untilMillis.put(version, clock.millis() + TOLD_MILLIS);
    }

    boolean contains(final String version) {
        return untilMillis.getOrDefault(version, Long.MIN_VALUE) > clock.millis();
    }

    @Override
    public String toString() {
        return "ToldVersions" + untilMillis.keySet();
    }
}
