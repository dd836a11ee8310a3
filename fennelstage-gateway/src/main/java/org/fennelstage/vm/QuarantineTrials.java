package org.fennelstage.vm;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.Quarantine;
import org.fennelstage.crash.QuarantineEntry;

/**
 * Decides when trials of quarantined parts are due.
 *
 * <p>Invariants: a trial is due only while requests with its part arrive at this VM; over all VMs
 * at most as many trials take place as there are {@link #DELAYS}, since the VM that creates a
 * trial's entry in the store performs it, and entries once seen count until the quarantine ends.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class QuarantineTrials {

    /**
     * Time between the start of a quarantine and each trial. The first one follows soon, so that a
     * part that many requests share is not rejected for long if it is not the cause.
     */
    private static final List<Duration> DELAYS =
            List.of(Duration.ofMillis(1_500), Duration.ofSeconds(10));

    private final Quarantine quarantine;
    private final Set<Fingerprint> rejected = new HashSet<>();
    private final Set<QuarantineEntry> seen = new HashSet<>();

    /**
     * Creates the trials of a quarantine.
     *
     * @param quarantine the quarantine
     */
    QuarantineTrials(final Quarantine quarantine) {
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine is null");
    }

    /** Records parts with which this VM has rejected requests. */
    void onRejected(final Set<Fingerprint> parts) {
        rejected.addAll(parts);
    }

    /** Records the entry of a trial, which some VM performs or has performed. */
    void onSeen(final QuarantineEntry trial) {
        seen.add(trial);
    }

    /** Returns the entries of the trials that are due and that no VM is known to have created. */
    List<QuarantineEntry> due() {
        final Set<Fingerprint> contents = quarantine.contents();
        rejected.retainAll(contents);
        seen.removeIf(trial -> !contents.contains(trial.fingerprint()));
        return rejected.stream().map(this::due).flatMap(Optional::stream).toList();
    }

    private Optional<QuarantineEntry> due(final Fingerprint part) {
        for (int trial = 1; trial <= DELAYS.size(); trial++) {
            final QuarantineEntry entry = new QuarantineEntry(part, trial);
            if (!seen.contains(entry)) {
                return isAtLeast(part, DELAYS.get(trial - 1))
                        ? Optional.of(entry)
                        : Optional.empty();
            }
        }
        return Optional.empty();
    }

    private boolean isAtLeast(final Fingerprint part, final Duration age) {
        return quarantine
                .remaining(part)
                .filter(remaining -> Quarantine.LIFETIME.minus(age).compareTo(remaining) >= 0)
                .isPresent();
    }
}
