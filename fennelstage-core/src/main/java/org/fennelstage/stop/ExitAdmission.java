package org.fennelstage.stop;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Decides which requests a VM passes on, at each attempt: those that are likely to end before the
 * VM exits. Thread-safety is that of the supplier of {@link #until}.
 */
@FunctionalInterface
public interface ExitAdmission {

    /**
     * Returns whether a request may be passed on now.
     *
     * @param likelyMillis the time within which it is likely to end, its wait included;
     *     milliseconds
     * @return false if the VM probably exits before
     */
    boolean admits(double likelyMillis);

    /**
     * Returns the admission of a VM that does not stop.
     *
     * @return an admission of all requests
     */
    static ExitAdmission ofRunningVm() {
        return likelyMillis -> true;
    }

    /**
     * Returns the admission of a VM that stops.
     *
     * @param remaining supplies the time until the VM responds to the requests that are still open
     * @return the admission; it admits nothing once no time remains
     */
    static ExitAdmission until(final Supplier<Duration> remaining) {
        Objects.requireNonNull(remaining, "remaining is null");
        return likelyMillis -> likelyMillis < remaining.get().toMillis();
    }
}
