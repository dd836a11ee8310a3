package org.fennelstage.admission;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.TeamId;

/**
 * The requests of one priority and team. Immutable and thread-safe.
 *
 * @param priority the priority, 0 for the most urgent requests; at most {@link #LEAST_URGENT}
 * @param team the team, empty for requests without one
 */
public record TrafficClass(int priority, Optional<TeamId> team) {

    /** The largest number of a priority. */
    public static final int LEAST_URGENT = 99;

    /** Requests of which neither priority nor team is known. */
    public static final TrafficClass UNKNOWN = new TrafficClass(LEAST_URGENT, Optional.empty());

    public TrafficClass {
        Objects.requireNonNull(team, "team is null");
        if (priority < 0 || priority > LEAST_URGENT) {
            throw new IllegalArgumentException("priority is " + priority);
        }
    }

    /**
     * Returns the class of requests.
     *
     * @param priority their priority as configured; limited to the valid range
     * @param team their team, empty if they have none
     * @return the class
     */
    public static TrafficClass of(final int priority, final Optional<TeamId> team) {
        return new TrafficClass(Math.max(0, Math.min(LEAST_URGENT, priority)), team);
    }

    @Override
    public String toString() {
        return priority + "/" + team.map(TeamId::value).orElse("-");
    }
}
