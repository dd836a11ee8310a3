package org.fennelstage.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/**
 * Tracks the malformed objects of one kind and logs them.
 *
 * <p>A malformed object is returned by every list. Invariant: an event is logged only when an
 * object becomes malformed, its problem changes, or it becomes valid again; names and problems are
 * kept and logged up to {@link #MAX_LENGTH} characters, in one line. Objects whose name is not
 * known are distinguished by their problem. Not thread-safe; confined to the event loop.
 */
final class MalformedObjects {

    /** Further malformed objects are neither kept nor logged, which bounds memory and log. */
    private static final int MAX_KEPT = 1_000;

    /** Longest part of a name or problem that is kept and logged; characters. */
    private static final int MAX_LENGTH = 200;

    private static final Pattern CONTROL_CHARACTER = Pattern.compile("\\p{Cntrl}");

    private final String kind;
    private final Map<String, String> problems = new HashMap<>();

    private MalformedObjects(final String kind) {
        this.kind = kind;
    }

    static MalformedObjects empty(final String kind) {
        return new MalformedObjects(Objects.requireNonNull(kind, "kind is null"));
    }

    /** Removes objects that are absent from a complete list. */
    void retain(final List<? extends StoredValue<?>> present) {
        if (!problems.isEmpty()) {
            final Set<String> names =
                    present.stream().map(MalformedObjects::key).collect(Collectors.toSet());
            problems.keySet().retainAll(names);
        }
    }

    /** Records whether an object is malformed and logs a change. */
    void update(final StoredValue<?> value) {
        if (value.problem().isPresent()) {
            recordMalformed(value, value.problem().get());
        } else if (problems.remove(key(value)) != null) {
            EventLog.write(
                    Event.OBJECT_VALID,
                    "kind",
                    kind,
                    "name",
                    cut(value.name()),
                    "revision",
                    value.position());
        }
    }

    private void recordMalformed(final StoredValue<?> value, final String fullProblem) {
        final String problem = cut(fullProblem);
        final boolean alreadyLogged = problem.equals(problems.get(key(value)));
        if (alreadyLogged || problems.size() >= MAX_KEPT) {
            return;
        }
        problems.put(key(value), problem);
        EventLog.write(
                Event.OBJECT_MALFORMED,
                "kind",
                kind,
                "name",
                cut(value.name()),
                "revision",
                value.position(),
                "problem",
                problem);
    }

    private static String key(final StoredValue<?> value) {
        return cut(value.name().isEmpty() ? value.problem().orElse("") : value.name());
    }

    private static String cut(final String text) {
        final String kept = text.length() > MAX_LENGTH ? text.substring(0, MAX_LENGTH) : text;
        return CONTROL_CHARACTER.matcher(kept).replaceAll("?");
    }

    @Override
    public String toString() {
        return "MalformedObjects[" + kind + ", " + problems.size() + "]";
    }
}
