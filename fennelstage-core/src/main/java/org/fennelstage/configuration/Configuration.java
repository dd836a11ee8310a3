package org.fennelstage.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.profile.Profile;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.session.KeyRing;
import org.fennelstage.team.Team;

/**
 * A snapshot of all configuration objects. Built once per change and read by every request.
 *
 * <p>Immutable and thread-safe; lookups allocate nothing.
 */
public final class Configuration {

    private final Digest digest;
    private final Map<ProfileId, Profile> profiles;
    private final Map<VersionId, ModelVersion> versions;
    private final Map<TeamId, Team> teams;
    private final Map<RolloutId, Rollout> rollouts;
    private final Map<BackendServerId, BackendServer> backendServers;
    private final KeyRing keys;
    private final Map<ModelId, List<ModelVersion>> versionsByModel = new HashMap<>();
    private final Map<VersionId, List<BackendServer>> serversByVersion = new HashMap<>();
    private final Map<ServiceName, List<BackendServer>> serversByService = new HashMap<>();

    private Configuration(final Builder builder) {
        this.digest = builder.digest;
        this.profiles = Map.copyOf(builder.profiles);
        this.versions = Map.copyOf(builder.versions);
        this.teams = Map.copyOf(builder.teams);
        this.rollouts = Map.copyOf(builder.rollouts);
        this.backendServers = Map.copyOf(builder.backendServers);
        this.keys = builder.keys;
        for (final ModelVersion version : new TreeMap<>(versions).values()) {
            versionsByModel.merge(version.id().model(), List.of(version), Configuration::concat);
        }
        for (final BackendServer server : new TreeMap<>(backendServers).values()) {
            index(server);
        }
    }

    /**
     * Returns a configuration without objects.
     *
     * @return the configuration
     */
    public static Configuration empty() {
        return new Builder(Digest.EMPTY).build();
    }

    /**
     * Returns the digest of the table from which this configuration was built.
     *
     * @return the digest
     */
    public Digest digest() {
        return digest;
    }

    public Optional<Profile> profile(final ProfileId id) {
        return Optional.ofNullable(profiles.get(id));
    }

    public Optional<ModelVersion> version(final VersionId id) {
        return Optional.ofNullable(versions.get(id));
    }

    /**
     * Returns the versions of a model, ordered by name.
     *
     * @param model the model
     * @return the versions, empty for an unknown model
     */
    public List<ModelVersion> versions(final ModelId model) {
        return versionsByModel.getOrDefault(model, List.of());
    }

    /**
     * Returns the backend servers that serve a version and are not draining.
     *
     * @param version the version
     * @return the servers, ordered by id
     */
    public List<BackendServer> servers(final VersionId version) {
        return serversByVersion.getOrDefault(version, List.of());
    }

    /**
     * Returns the backend servers of a service without a model that are not draining.
     *
     * @param service the service
     * @return the servers, ordered by id
     */
    public List<BackendServer> servers(final ServiceName service) {
        return serversByService.getOrDefault(service, List.of());
    }

    public Collection<Team> teams() {
        return teams.values();
    }

    public Collection<Profile> profiles() {
        return profiles.values();
    }

    public Collection<Rollout> rollouts() {
        return rollouts.values();
    }

    public Collection<BackendServer> backendServers() {
        return backendServers.values();
    }

    public KeyRing keys() {
        return keys;
    }

    /**
     * Returns the rollout of a model. If several are not aborted, the one with the lowest id
     * applies.
     *
     * @param model the model
     * @return the rollout, empty if there is none that is not aborted
     */
    public Optional<Rollout> rollout(final ModelId model) {
        Rollout lowest = null;
        for (final Rollout rollout : rollouts.values()) {
            if (rollout.model().equals(model)
                    && rollout.state() != Rollout.State.ABORTED
                    && (lowest == null || rollout.id().compareTo(lowest.id()) < 0)) {
                lowest = rollout;
            }
        }
        return Optional.ofNullable(lowest);
    }

    private void index(final BackendServer server) {
        if (server.leaving()) {
            return;
        }
        for (final VersionId version : server.versions()) {
            serversByVersion.merge(version, List.of(server), Configuration::concat);
        }
        server.service()
                .ifPresent(s -> serversByService.merge(s, List.of(server), Configuration::concat));
    }

    private static <T> List<T> concat(final List<T> left, final List<T> right) {
        final List<T> all = new java.util.ArrayList<>(left);
        all.addAll(right);
        return all;
    }

    /** Builds a configuration. Not thread-safe. */
    public static final class Builder {
        private final Digest digest;
        private final Map<ProfileId, Profile> profiles = new HashMap<>();
        private final Map<VersionId, ModelVersion> versions = new HashMap<>();
        private final Map<TeamId, Team> teams = new HashMap<>();
        private final Map<RolloutId, Rollout> rollouts = new HashMap<>();
        private final Map<BackendServerId, BackendServer> backendServers = new HashMap<>();
        private KeyRing keys = KeyRing.empty();

        /**
         * Creates a builder without objects.
         *
         * @param digest the digest of the table that holds the objects
         */
        public Builder(final Digest digest) {
            this.digest = digest;
        }

        public Builder add(final Profile profile) {
            profiles.put(profile.id(), profile);
            return this;
        }

        public Builder add(final ModelVersion version) {
            versions.put(version.id(), version);
            return this;
        }

        public Builder add(final Team team) {
            teams.put(team.id(), team);
            return this;
        }

        public Builder add(final Rollout rollout) {
            rollouts.put(rollout.id(), rollout);
            return this;
        }

        public Builder add(final BackendServer server) {
            backendServers.put(server.id(), server);
            return this;
        }

        public Builder add(final KeyRing ring) {
            keys = ring;
            return this;
        }

        public Configuration build() {
            return new Configuration(this);
        }
    }
}
