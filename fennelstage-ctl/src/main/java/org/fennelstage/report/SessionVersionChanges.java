package org.fennelstage.report;

import static java.util.stream.Collectors.counting;
import static java.util.stream.Collectors.groupingBy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the changes of version within sessions in the logs of VMs.
 *
 * <p>A rollout changes the version of each session once, in its second half. An earlier change, or
 * a change back, indicates that VMs choose versions by different state; the caller then gets
 * answers of two versions within one session. Events are ordered by the VMs' clocks: requests sent
 * by two VMs within the difference of their clocks may be ordered wrongly.
 *
 * <p>Immutable and thread-safe.
 */
public final class SessionVersionChanges {

    private static final String SENT = "FS4012";
    private static final String NONE = "-";

    /**
     * A change of version between two successive requests of a session.
     *
     * @param session the id of the session
     * @param request the id of the second request
     * @param from the version of the first request
     * @param to the version of the second request
     * @param fromVm the VM that sent the first request
     * @param toVm the VM that sent the second request
     * @param at when the second request was sent, by its VM's clock
     * @param since the time between the two
     * @param chosenBy the reason for the choice of the second version
     */
    public record VersionChange(
            String session,
            String request,
            String from,
            String to,
            String fromVm,
            String toVm,
            Instant at,
            Duration since,
            String chosenBy) {

        /**
         * Returns whether the two requests were sent by different VMs.
         *
         * @return true if the VMs differ
         */
        public boolean isAcrossVms() {
            return !fromVm.equals(toVm);
        }
    }

    private final List<VersionChange> changes;

    private SessionVersionChanges(final List<VersionChange> changes) {
        this.changes = changes;
    }

    /**
     * Finds the changes in log events.
     *
     * @param lines the events of any number of VMs, in any order
     * @return the changes
     */
    public static SessionVersionChanges of(final List<LogLine> lines) {
        final Map<String, LogLine> lastByKey = new HashMap<>();
        final List<VersionChange> changes = new ArrayList<>();
        lines.stream()
                .filter(SessionVersionChanges::isSentInSession)
                .sorted(Comparator.comparing(LogLine::at))
                .forEach(
                        line -> {
                            final LogLine before = lastByKey.put(sessionKey(line), line);
                            if (before != null) {
                                change(before, line).ifPresent(changes::add);
                            }
                        });
        return new SessionVersionChanges(List.copyOf(changes));
    }

    /**
     * Returns all changes.
     *
     * @return the changes, in order of time
     */
    public List<VersionChange> all() {
        return changes;
    }

    /**
     * Describes the changes.
     *
     * @return one line for each change, and one with their number
     */
    public List<String> describe() {
        final List<String> descriptions = new ArrayList<>();
        for (final VersionChange change : changes) {
            descriptions.add(
                    "session %s went from %s to %s after %d ms: request %s at %s, before it %s; by %s"
                            .formatted(
                                    change.session(),
                                    change.from(),
                                    change.to(),
                                    change.since().toMillis(),
                                    change.request(),
                                    change.toVm(),
                                    change.fromVm(),
                                    change.chosenBy()));
        }
        final long acrossVms = changes.stream().filter(VersionChange::isAcrossVms).count();
        descriptions.add(
                "changes of version within a session: %d, %d of them at another VM; sessions that"
                                .formatted(changes.size(), acrossVms)
                        + " changed more than once: "
                        + sessionsWithSeveralChanges());
        return descriptions;
    }

    /** Counts the sessions that changed more than once, which a rollout does not cause. */
    private long sessionsWithSeveralChanges() {
        return changes.stream()
                .map(VersionChange::session)
                .collect(groupingBy(s -> s, counting()))
                .values()
                .stream()
                .filter(count -> count > 1)
                .count();
    }

    private static boolean isSentInSession(final LogLine line) {
        return line.code().equals(SENT) && !text(line, "session").equals(NONE);
    }

    private static String sessionKey(final LogLine line) {
        return text(line, "service") + " " + text(line, "session");
    }

    private static Optional<VersionChange> change(final LogLine before, final LogLine line) {
        if (text(before, "version").equals(text(line, "version"))) {
            return Optional.empty();
        }
        return Optional.of(
                new VersionChange(
                        text(line, "session"),
                        text(line, "request"),
                        text(before, "version"),
                        text(line, "version"),
                        before.vm(),
                        line.vm(),
                        line.at(),
                        Duration.between(before.at(), line.at()),
                        text(line, "chosen_by")));
    }

    private static String text(final LogLine line, final String field) {
        return line.field(field).orElse(NONE);
    }

    @Override
    public String toString() {
        return "SessionVersionChanges" + changes;
    }
}
