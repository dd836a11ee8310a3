package org.fennelstage.crash;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry of the quarantine that all VMs share: a quarantined content or part, or a trial of it,
 * which belongs to the VM that created the entry.
 *
 * <p>Invariant: {@code parse(e.toString())} equals {@code e}. Immutable and thread-safe.
 *
 * <pre>{@code
 * QuarantineEntry.of(fingerprint).toString()       // "03f9c1d2a4b5e607"
 * new QuarantineEntry(fingerprint, 1).toString()   // "03f9c1d2a4b5e607-1"
 * }</pre>
 *
 * @param fingerprint what is quarantined
 * @param trial the number of the trial, 0 for the quarantine itself
 */
public record QuarantineEntry(Fingerprint fingerprint, int trial) {

    private static final Pattern TEXT = Pattern.compile("([0-9a-f]{16})(?:-([1-9]))?");

    public QuarantineEntry {
        Objects.requireNonNull(fingerprint, "fingerprint is null");
    }

    /**
     * Returns the entry of a quarantined content or part.
     *
     * @param fingerprint its fingerprint
     * @return the entry
     */
    public static QuarantineEntry of(final Fingerprint fingerprint) {
        return new QuarantineEntry(fingerprint, 0);
    }

    /**
     * Parses an entry.
     *
     * @param text the fingerprint, and the number of the trial unless it is 0
     * @return the entry
     * @throws IllegalArgumentException if the text has another form
     */
    public static QuarantineEntry parse(final String text) {
        final Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("not an entry of the quarantine: " + text);
        }
        return new QuarantineEntry(
                Fingerprint.parse(matcher.group(1)),
                matcher.group(2) == null ? 0 : Integer.parseInt(matcher.group(2)));
    }

    /**
     * Returns whether this is the entry of a trial.
     *
     * @return false for the quarantine itself
     */
    public boolean isTrial() {
        return trial > 0;
    }

    @Override
    public String toString() {
        return isTrial() ? fingerprint + "-" + trial : fingerprint.toString();
    }
}
