package org.fennelstage.report;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What the log says of one request. Immutable.
 *
 * <p>Invariant: the lines are of one request, in the order of their times, and there is at least
 * one.
 */
public final class RequestStory {

    private static final String SENT = "FS4012";
    private static final String FAILED = "FS4013";
    private static final String FINISHED = "FS4014";
    private static final String DROPPED = "FS4015";
    private static final String REFUSED = "FS4011";

    private final List<LogLine> lines;

    private RequestStory(final List<LogLine> lines) {
        this.lines = lines;
    }

    /**
     * Returns the story of a request.
     *
     * @param lines its lines, in the order of their times
     * @return the story
     */
    public static RequestStory of(final List<LogLine> lines) {
        if (lines.isEmpty()) {
            throw new IllegalArgumentException("no lines");
        }
        return new RequestStory(List.copyOf(lines));
    }

    public String id() {
        return lines.get(0).field("request").orElse("");
    }

    public String vm() {
        return lines.get(0).vm();
    }

    public Instant begunAt() {
        return lines.get(0).at();
    }

    /**
     * Returns the route.
     *
     * @return its name; a dash if the request ended before it was known
     */
    public String route() {
        return lines.stream().flatMap(l -> l.field("route").stream()).findFirst().orElse("-");
    }

    /**
     * Tells why the request was not served in time.
     *
     * @return the first cause that fits
     */
    public Cause cause() {
        final Optional<LogLine> end = first(FINISHED);
        if (end.isEmpty()) {
            return has(REFUSED) ? Cause.REFUSED : Cause.VM_ENDED;
        }
        if (isInTime(end.get())) {
            return Cause.NONE;
        }
        if (outcome(end.get()).equals("caller_gone")) {
            return Cause.CALLER_GONE;
        }
        if (!has(SENT)) {
            return Cause.REFUSED;
        }
        return causeOfAttempts();
    }

    /** Tells whether it was answered, in whatever time. */
    boolean isServed() {
        return first(FINISHED).filter(RequestStory::isSuccess).isPresent();
    }

    private static boolean isInTime(final LogLine end) {
        final long objective = end.number("objective_ms").orElse(Long.MAX_VALUE);
        return isSuccess(end) && end.number("first_byte_ms").orElse(0) <= objective;
    }

    private static boolean isSuccess(final LogLine end) {
        final long status = end.number("status").orElse(0);
        return outcome(end).equals("answered") && status >= 200 && status < 300;
    }

    private Cause causeOfAttempts() {
        if (failedWith("silent for") || failedWith("cannot connect")) {
            return Cause.DARK_SERVER;
        }
        if (failedWith("RESPONDING") || failedWith("MAYBE_SENT") || failedWith("unsigned")) {
            return Cause.BROKEN_ANSWER;
        }
        if (has(FAILED) || endsWithFailure()) {
            return Cause.FAILED_ANSWER;
        }
        if (has(DROPPED)) {
            return Cause.LARGER_MODEL;
        }
        return has(SENT) ? Cause.WAITED : Cause.UNEXPLAINED;
    }

    private boolean endsWithFailure() {
        return first(FINISHED)
                        .flatMap(l -> l.field("status"))
                        .filter(s -> s.startsWith("5"))
                        .isPresent()
                && outcome(first(FINISHED).get()).equals("answered");
    }

    /**
     * Tells the story in plain words.
     *
     * @return one line for each event, and the conclusion
     */
    public List<String> tell() {
        final List<String> told = new ArrayList<>();
        told.add("request " + id() + " of route " + route() + " at VM " + vm());
        for (final LogLine line : lines) {
            final long millis = line.at().toEpochMilli() - begunAt().toEpochMilli();
            told.add(String.format("%7d ms  %s", millis, sentence(line)));
        }
        told.add("conclusion: " + cause().text());
        return told;
    }

    private static String sentence(final LogLine line) {
        return switch (line.code()) {
            case SENT ->
                    "sent to backend server %s for model %s; expected to begin in %s ms, %s of its"
                                    .formatted(
                                            text(line, "server"),
                                            text(line, "model"),
                                            text(line, "expected_ms"),
                                            text(line, "running"))
                            + " requests run there, "
                            + text(line, "remaining_ms")
                            + " ms left";
            case FAILED -> "the attempt ended: %s".formatted(text(line, "detail"));
            case DROPPED ->
                    "model %s gave its answer %s of 100 and was dropped for %s"
                            .formatted(
                                    text(line, "model"),
                                    text(line, "confidence"),
                                    text(line, "asked_next"));
            case REFUSED -> "refused: %s".formatted(text(line, "reason"));
            case FINISHED ->
                    "ended as %s with status %s after %s ms; first byte after %s ms, objective %s ms"
                            .formatted(
                                    text(line, "outcome"),
                                    text(line, "status"),
                                    text(line, "elapsed_ms"),
                                    text(line, "first_byte_ms"),
                                    text(line, "objective_ms"));
            default -> line.code() + " " + line.fields();
        };
    }

    private static String text(final LogLine line, final String field) {
        return line.field(field).orElse("-");
    }

    private static String outcome(final LogLine end) {
        return end.field("outcome").orElse("");
    }

    private boolean failedWith(final String detail) {
        return lines.stream()
                .filter(l -> l.code().equals(FAILED))
                .anyMatch(l -> l.field("detail").orElse("").contains(detail));
    }

    private boolean has(final String code) {
        return first(code).isPresent();
    }

    private Optional<LogLine> first(final String code) {
        return lines.stream().filter(l -> l.code().equals(code)).findFirst();
    }

    @Override
    public String toString() {
        return "RequestStory[" + id() + ", " + cause() + "]";
    }
}
