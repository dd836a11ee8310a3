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
 * Sessions that changed the version of a service, as the VMs' own logs show it.
 *
 * <p>A roll-out moves each session once, in its second half. A move before that, or one back, means
 * that VMs decide on versions by what only one of them knows; callers see answers of two versions
 * in one piece of work. The times are those of the VMs' clocks, so that sends of two VMs that lie
 * closer together than the clocks may stand in the wrong order.
 *
 * <p>Law: the lines may come in any order. Immutable once made.
 */
public final class SessionMoves {

    private static final String SENT = "FS4012";
    private static final String NONE = "-";

    /**
     * One change of version.
     *
     * @param session the session
     * @param request the request that ran on another version than the one before it
     * @param from the version before
     * @param to the version after
     * @param fromVm the VM that sent the request before
     * @param toVm the VM that sent this one
     * @param at when it was sent, by its VM's clock
     * @param since the time since the send before
     * @param chosenBy what decided on the version
     */
    public record Move(
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
         * Tells whether the session came through another VM than before.
         *
         * @return true if so
         */
        public boolean atAnotherVm() {
            return !fromVm.equals(toVm);
        }
    }

    private final List<Move> moves;

    private SessionMoves(final List<Move> moves) {
        this.moves = moves;
    }

    /**
     * Finds the changes in some log lines.
     *
     * @param lines the lines of any number of VMs
     * @return the changes
     */
    public static SessionMoves of(final List<LogLine> lines) {
        final Map<String, LogLine> last = new HashMap<>();
        final List<Move> moves = new ArrayList<>();
        lines.stream()
                .filter(SessionMoves::isOfSession)
                .sorted(Comparator.comparing(LogLine::at))
                .forEach(
                        line -> {
                            final LogLine before = last.put(key(line), line);
                            if (before != null) {
                                move(before, line).ifPresent(moves::add);
                            }
                        });
        return new SessionMoves(List.copyOf(moves));
    }

    /**
     * Returns the changes.
     *
     * @return them, in the order of time
     */
    public List<Move> all() {
        return moves;
    }

    /**
     * Describes the changes.
     *
     * @return a line for each, and one that counts them
     */
    public List<String> tell() {
        final List<String> told = new ArrayList<>();
        for (final Move move : moves) {
            told.add(
                    "session %s went from %s to %s after %d ms: request %s at %s, before it %s; by %s"
                            .formatted(
                                    move.session(),
                                    move.from(),
                                    move.to(),
                                    move.since().toMillis(),
                                    move.request(),
                                    move.toVm(),
                                    move.fromVm(),
                                    move.chosenBy()));
        }
        final long elsewhere = moves.stream().filter(Move::atAnotherVm).count();
        told.add(
                "changes of version within a session: %d, %d of them at another VM; sessions that"
                                .formatted(moves.size(), elsewhere)
                        + " changed more than once: "
                        + changedAgain());
        return told;
    }

    /** A roll-out moves a session once; more are moves to and fro. */
    private long changedAgain() {
        return moves.stream()
                .map(Move::session)
                .collect(groupingBy(s -> s, counting()))
                .values()
                .stream()
                .filter(count -> count > 1)
                .count();
    }

    private static boolean isOfSession(final LogLine line) {
        return line.code().equals(SENT) && !text(line, "session").equals(NONE);
    }

    private static String key(final LogLine line) {
        return text(line, "service") + " " + text(line, "session");
    }

    private static Optional<Move> move(final LogLine before, final LogLine line) {
        if (text(before, "version").equals(text(line, "version"))) {
            return Optional.empty();
        }
        return Optional.of(
                new Move(
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
        return "SessionMoves" + moves;
    }
}
