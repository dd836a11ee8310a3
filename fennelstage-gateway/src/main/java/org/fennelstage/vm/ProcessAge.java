package org.fennelstage.vm;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.fennelstage.time.MonotonicClock;

/**
 * The time since the process began. Its start is read at the first call, so that a start without
 * rejected requests does not pay for it. Not thread-safe; confined to the event loop.
 */
final class ProcessAge implements Supplier<Duration> {

    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private OptionalLong beganMillis = OptionalLong.empty();

    ProcessAge(final MonotonicClock clock, final InstantSource wallClock) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock is null");
    }

    @Override
    public Duration get() {
        if (beganMillis.isEmpty()) {
            beganMillis = OptionalLong.of(clock.millis() - ageMillis());
        }
        return Duration.ofMillis(clock.millis() - beganMillis.getAsLong());
    }

    /** Returns the age by the wall clock, 0 if the system does not tell the start. */
    private long ageMillis() {
        return ProcessHandle.current()
                .info()
                .startInstant()
                .map(start -> Duration.between(start, wallClock.instant()).toMillis())
                .orElse(0L);
    }
}
