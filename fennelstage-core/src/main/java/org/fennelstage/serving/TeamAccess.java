package org.fennelstage.serving;

import java.util.Objects;
import java.util.OptionalInt;
import org.fennelstage.id.TeamId;

/**
 * What a key stands for. Immutable and thread-safe.
 *
 * @param team the team that holds the key
 * @param priority the team's rank, 0 first, which goes before its routes' ranks; empty if it has
 *     none
 */
public record TeamAccess(TeamId team, OptionalInt priority) {

    public TeamAccess {
        Objects.requireNonNull(team, "team is null");
        Objects.requireNonNull(priority, "priority is null");
    }
}
