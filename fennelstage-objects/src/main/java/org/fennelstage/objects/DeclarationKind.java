package org.fennelstage.objects;

import java.util.Arrays;
import java.util.Optional;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.profile.Profile;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.session.KeyRing;
import org.fennelstage.team.Team;

/** The kinds of declarations that operators write. Immutable and thread-safe. */
public enum DeclarationKind {
    PROFILE("profiles", Profile.class),
    VERSION("versions", ModelVersion.class),
    TEAM("teams", Team.class),
    BACKEND_SERVER("servers", BackendServer.class),
    ROLLOUT("rollouts", Rollout.class),
    KEY_RING("keys", KeyRing.class);

    private static final int KIND_SEGMENT = 1;

    private final String directory;
    private final Class<?> type;

    DeclarationKind(final String directory, final Class<?> type) {
        this.directory = directory;
        this.type = type;
    }

    /**
     * Returns the kind of the declaration under a key.
     *
     * @param key the key
     * @return the kind; empty if the key is not that of a declaration
     */
    public static Optional<DeclarationKind> of(final ObjectKey key) {
        final String[] segments = key.path().split("/");
        if (segments.length <= KIND_SEGMENT) {
            return Optional.empty();
        }
        return Arrays.stream(values())
                .filter(k -> k.directory.equals(segments[KIND_SEGMENT]))
                .findFirst();
    }

    public String directory() {
        return directory;
    }

    public Class<?> type() {
        return type;
    }
}
