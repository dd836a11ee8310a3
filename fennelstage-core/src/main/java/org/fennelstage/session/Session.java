package org.fennelstage.session;

import java.util.Objects;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.SessionId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;

/**
 * A sequence of requests that all run on one version of a model.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the session
 * @param team the team it belongs to
 * @param profile the profile with which it was opened
 * @param version the version that runs its requests
 */
public record Session(SessionId id, TeamId team, ProfileId profile, VersionId version) {

    public Session {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(team, "team is null");
        Objects.requireNonNull(profile, "profile is null");
        Objects.requireNonNull(version, "version is null");
    }
}
