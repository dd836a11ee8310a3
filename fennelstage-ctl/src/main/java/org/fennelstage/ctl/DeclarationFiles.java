package org.fennelstage.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;
import org.fennelstage.ini.IniException;
import org.fennelstage.ini.IniFile;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.objects.DeclarationKind;
import org.fennelstage.objects.Keys;
import org.fennelstage.profile.Profile;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.rollout.Tolerance;
import org.fennelstage.session.KeyRing;
import org.fennelstage.team.KeyHash;
import org.fennelstage.team.Team;

/**
 * Reads the declarations in the {@code .ini} files of a directory, with sections such as {@code
 * [profile full-issue]}, {@code [version pero@v1]}, {@code [team editors]}, {@code [server
 * pero-1]}, {@code [rollout june]} and {@code [keys sessions]}.
 *
 * <p>Collects mistakes and reports all of them together. Not thread-safe; one instance reads one
 * directory.
 */
final class DeclarationFiles {

    private static final double MAX_NUMBER = 1e9;

    private final Map<ObjectKey, Object> declarations = new TreeMap<>();
    private final List<String> mistakes = new ArrayList<>();

    private DeclarationFiles() {}

    /**
     * Reads all declarations in a directory.
     *
     * @param directory the directory
     * @return the declarations by key
     * @throws IniException if the directory cannot be read or a file has mistakes; lists them all
     */
    static Map<ObjectKey, Object> read(final Path directory) throws IniException {
        final DeclarationFiles files = new DeclarationFiles();
        try (Stream<Path> paths = Files.list(directory)) {
            for (final Path path : paths.sorted().toList()) {
                if (path.toString().endsWith(".ini")) {
                    files.readFile(path);
                }
            }
        } catch (final IOException e) {
            throw new IniException(List.of(directory + ": cannot be read: " + e.getMessage()));
        }
        files.checkReferences();
        if (!files.mistakes.isEmpty()) {
            throw new IniException(files.mistakes);
        }
        return files.declarations;
    }

    private void readFile(final Path path) {
        try {
            final IniFile ini = IniFile.read(path);
            for (final String section : ini.sections()) {
                readSection(ini, section, path);
            }
            ini.finish();
        } catch (final IniException e) {
            mistakes.addAll(e.mistakes());
        }
    }

    private void readSection(final IniFile ini, final String section, final Path path) {
        final String[] words = section.trim().split("\\s+");
        if (words.length != 2) {
            ini.mistake(section, "a section is named by a kind and an id");
            return;
        }
        final String id = words[1];
        switch (words[0]) {
            case "profile" ->
                    addDeclaration(
                            ini,
                            section,
                            DeclarationKind.PROFILE,
                            id,
                            () -> profile(ini, section, id));
            case "version" ->
                    addDeclaration(
                            ini,
                            section,
                            DeclarationKind.VERSION,
                            id,
                            () -> version(ini, section, id));
            case "team" ->
                    addDeclaration(
                            ini, section, DeclarationKind.TEAM, id, () -> team(ini, section, id));
            case "server" ->
                    addDeclaration(
                            ini,
                            section,
                            DeclarationKind.BACKEND_SERVER,
                            id,
                            () -> server(ini, section, id));
            case "rollout" ->
                    addDeclaration(
                            ini,
                            section,
                            DeclarationKind.ROLLOUT,
                            id,
                            () -> rollout(ini, section, id));
            case "keys" ->
                    addDeclaration(
                            ini,
                            section,
                            DeclarationKind.KEY_RING,
                            id,
                            () -> keys(ini, section, path));
            default ->
                    ini.mistake(
                            section,
                            "unknown kind; allowed are profile, version, team, server, rollout, keys");
        }
    }

    private void addDeclaration(
            final IniFile ini,
            final String section,
            final DeclarationKind kind,
            final String id,
            final Supplier<Object> reader) {
        try {
            final Object declaration = reader.get();
            if (declarations.put(Keys.declaration(kind, id), declaration) != null) {
                ini.mistake(section, "declared twice");
            }
        } catch (final IllegalArgumentException | NullPointerException e) {
            // IniFile has already reported the mistake if a value is null.
            if (e instanceof IllegalArgumentException) {
                ini.mistake(section, e.getMessage());
            }
        }
    }

    private static Profile profile(final IniFile ini, final String section, final String id) {
        return new Profile(
                ProfileId.of(id),
                ini.list(section, "models", null, "models, cheapest first", ModelId::of),
                ini.number(section, "quality", null, 0, 1),
                ini.millis(section, "first_token_ms", "1300"),
                ini.millis(section, "deadline_ms", "30000"),
                ini.oneOf(section, "idempotent", "yes", Set.of("yes", "no")).equals("yes"),
                (int) ini.number(section, "max_tokens", "256", 1, MAX_NUMBER));
    }

    private static ModelVersion version(final IniFile ini, final String section, final String id) {
        final String state =
                ini.oneOf(section, "state", "serving", Set.of("serving", "draining", "withdrawn"));
        return new ModelVersion(
                VersionId.parse(id),
                ModelVersion.State.valueOf(state.toUpperCase(Locale.ROOT)),
                ini.number(section, "cost_per_1000_tokens", null, 0, MAX_NUMBER));
    }

    private static Team team(final IniFile ini, final String section, final String id) {
        return new Team(
                TeamId.of(id),
                new KeyHash(
                        ini.value(section, "key_salt", null, "a text", t -> t),
                        ini.value(section, "key_hash", null, "64 hexadecimal digits", t -> t)),
                Set.copyOf(ini.list(section, "profiles", null, "profiles", ProfileId::of)),
                Set.copyOf(ini.list(section, "models", null, "models", ModelId::of)),
                ini.number(section, "requests_per_second", null, 0.001, MAX_NUMBER),
                (int) ini.number(section, "concurrency_per_vm", "100", 1, MAX_NUMBER),
                ini.oneOf(section, "explain", "no", Set.of("yes", "no")).equals("yes"));
    }

    private static BackendServer server(final IniFile ini, final String section, final String id) {
        final var address = ini.value(section, "address", null, IniFile.ADDRESS, IniFile::address);
        final Optional<ServiceName> service =
                ini.value(
                        section,
                        "service",
                        "",
                        "a name or nothing",
                        t -> t.isEmpty() ? Optional.empty() : Optional.of(ServiceName.of(t)));
        return new BackendServer(
                BackendServerId.of(id),
                ini.value(section, "data_centre", null, "a name", DataCentreId::of),
                address.getHostString(),
                address.getPort(),
                new HashSet<>(ini.list(section, "versions", "", "MODEL@VERSION", VersionId::parse)),
                service,
                (int) ini.number(section, "slots", "8", 1, MAX_NUMBER),
                ini.oneOf(section, "leaving", "no", Set.of("yes", "no")).equals("yes"));
    }

    private static Rollout rollout(final IniFile ini, final String section, final String id) {
        final String state =
                ini.oneOf(section, "state", "running", Set.of("running", "paused", "aborted"));
        return new Rollout(
                RolloutId.of(id),
                ini.value(section, "proven", null, "MODEL@VERSION", VersionId::parse),
                ini.value(section, "candidate", null, "MODEL@VERSION", VersionId::parse),
                Rollout.State.valueOf(state.toUpperCase(Locale.ROOT)),
                ini.list(section, "steps", "0.05 0.25 1", "shares", Double::valueOf),
                new Tolerance(
                        ini.number(section, "errors", "0.02", 0.0001, 0.9),
                        ini.number(section, "poor_ratings", "0.1", 0.0001, 0.9),
                        ini.number(section, "truncations", "0.02", 0.0001, 0.9),
                        ini.number(section, "late", "0.05", 0.0001, 0.9)));
    }

    /** Reads each secret from a file of its own, so that the declarations hold no secrets. */
    private static KeyRing keys(final IniFile ini, final String section, final Path path) {
        final String current = ini.value(section, "current", null, "a key's id", t -> t);
        final List<String> ids = ini.list(section, "ids", null, "key ids", t -> t);
        final Map<String, String> secrets = new TreeMap<>();
        for (final String id : ids) {
            final String secret =
                    ini.value(
                            section,
                            "secret_file_" + id,
                            null,
                            "a readable file beside this one",
                            t -> readSecret(path.resolveSibling(t)));
            secrets.put(id, Objects.requireNonNull(secret, "secret is null"));
        }
        return new KeyRing(Optional.of(current), secrets);
    }

    private static String readSecret(final Path file) {
        try {
            return Files.readString(file).trim();
        } catch (final IOException e) {
            throw new IllegalArgumentException("cannot read " + file, e);
        }
    }

    private void checkReferences() {
        final Set<ModelId> models = new HashSet<>();
        final Set<VersionId> versions = new HashSet<>();
        final Set<ProfileId> profiles = new HashSet<>();
        for (final Object declaration : declarations.values()) {
            if (declaration instanceof ModelVersion version) {
                versions.add(version.id());
                models.add(version.id().model());
            } else if (declaration instanceof Profile profile) {
                profiles.add(profile.id());
            }
        }
        for (final Map.Entry<ObjectKey, Object> entry : declarations.entrySet()) {
            checkReferences(entry.getKey(), entry.getValue(), models, versions, profiles);
        }
    }

    private void checkReferences(
            final ObjectKey key,
            final Object declaration,
            final Set<ModelId> models,
            final Set<VersionId> versions,
            final Set<ProfileId> profiles) {
        if (declaration instanceof Profile profile) {
            profile.models().forEach(m -> requireDeclared(key, models.contains(m), "model " + m));
        } else if (declaration instanceof Team team) {
            team.models().forEach(m -> requireDeclared(key, models.contains(m), "model " + m));
            team.profiles()
                    .forEach(p -> requireDeclared(key, profiles.contains(p), "profile " + p));
        } else if (declaration instanceof BackendServer server) {
            server.versions()
                    .forEach(v -> requireDeclared(key, versions.contains(v), "version " + v));
        } else if (declaration instanceof Rollout rollout) {
            requireDeclared(
                    key, versions.contains(rollout.proven()), "version " + rollout.proven());
            requireDeclared(
                    key, versions.contains(rollout.candidate()), "version " + rollout.candidate());
        }
    }

    private void requireDeclared(final ObjectKey key, final boolean isDeclared, final String what) {
        if (!isDeclared) {
            mistakes.add(key + ": refers to " + what + ", which is not declared");
        }
    }
}
