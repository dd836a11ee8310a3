package org.fennelstage.serving;

import java.util.Objects;
import java.util.OptionalInt;
import org.fennelstage.id.TeamId;

/**
 * The team to which a key belongs, with its priority. Immutable and thread-safe.
 *
 * @param team the team
 * @param priority the team's priority, which overrides those of routes; 0 is the highest; empty if
 *     the team has none
 */
public record TeamAccess(TeamId team, OptionalInt priority) {

    public TeamAccess {
        Objects.requireNonNull(team, "team is null");
        Objects.requireNonNull(priority, "priority is null");
    }
}
