package org.fennelstage.team;

import java.util.Objects;
import java.util.Set;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.TeamId;

/**
 * A team with its key, permissions and limits.
 *
 * <p>Invariant: the limits are positive. Immutable and thread-safe.
 *
 * @param id the team
 * @param key the salted hash of its bearer key
 * @param profiles the profiles it may use
 * @param models the models its requests may run on
 * @param requestsPerSecond the maximum request rate over all VMs; requests per second
 * @param concurrency the maximum number of requests in flight per VM
 * @param explain whether responses name the version, the backend server and the reason for the
 *     choice
 */
public record Team(
        TeamId id,
        KeyHash key,
        Set<ProfileId> profiles,
        Set<ModelId> models,
        double requestsPerSecond,
        int concurrency,
        boolean explain) {

    public Team {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(key, "key is null");
        profiles = Set.copyOf(profiles);
        models = Set.copyOf(models);
        if (!(requestsPerSecond > 0) || concurrency < 1) {
            throw new IllegalArgumentException("team " + id + ": limits must be positive");
        }
    }
}
