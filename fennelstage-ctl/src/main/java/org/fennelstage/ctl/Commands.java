package org.fennelstage.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.VersionId;
import org.fennelstage.ini.IniException;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.objects.DeclarationKind;
import org.fennelstage.objects.Declarations;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.MalformedValueException;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.rollout.RolloutProgress;
import org.fennelstage.rollout.Tolerance;
import org.fennelstage.team.KeyHash;

/** The commands of {@code fennelctl} on declarations, rollouts and bills. Not thread-safe. */
final class Commands {

    private final BlockingStore store;
    private final VmStatusReader vmStatus;
    private final Duration maxWait;
    private final PrintStream out;

    Commands(
            final ObjectStore objects,
            final InstantSource clock,
            final Duration maxWait,
            final PrintStream out) {
        this.store = new BlockingStore(objects);
        this.vmStatus = new VmStatusReader(store, clock);
        this.maxWait = maxWait;
        this.out = out;
    }

    static void check(final Path directory, final PrintStream out) throws CommandException {
        out.println(readDeclarations(directory).size() + " declarations are valid");
    }

    /**
     * Prints a new random team key and the two lines that declare it.
     *
     * @param out the stream to print to
     */
    static void teamKey(final PrintStream out) {
        final String key = "fs-" + UUID.randomUUID() + UUID.randomUUID();
        final String salt = UUID.randomUUID().toString();
        out.println("key (give it to the team; it is not stored): " + key);
        out.println("key_salt = " + salt);
        out.println("key_hash = " + KeyHash.ofKey(salt, key).hash());
    }

    void plan(final Path directory) throws CommandException {
        final List<Change> changes = planChanges(directory);
        changes.forEach(this::print);
        out.println(changes.size() + " changes");
    }

    void apply(final Path directory) throws CommandException {
        final List<Change> changes = planChanges(directory);
        Revision last = Revision.NONE;
        int written = 0;
        for (final Change change : changes) {
            try {
                last = store.apply(change);
            } catch (final CommandException e) {
                throw new CommandException(
                        e.exitCode(),
                        e.getMessage()
                                + "; "
                                + written
                                + " of "
                                + changes.size()
                                + " changes were written");
            }
            print(change);
            written++;
        }
        if (written == 0) {
            out.println("no changes");
        } else {
            awaitRevision(last);
        }
    }

    void status(final boolean json) throws CommandException {
        final Map<String, Object> status = new TreeMap<>();
        final Map<?, ?> vms = new TreeMap<>(vmStatus.states());
        status.put("vms", vms);
        status.put("rollouts", rolloutProgress());
        if (json) {
            out.println(new String(Json.write(status), java.nio.charset.StandardCharsets.UTF_8));
            return;
        }
        vms.forEach((vm, state) -> out.println(vm + " " + state));
        rolloutProgress().forEach((id, state) -> out.println("rollout " + id + " " + state));
    }

    void setVersionState(final String model, final String version, final ModelVersion.State state)
            throws CommandException {
        final VersionId id = VersionId.of(model, version);
        final ObjectKey key = Keys.declaration(DeclarationKind.VERSION, id.toString());
        final StoredObject stored = store.read(key);
        final ModelVersion current = decode(stored, ModelVersion.class);
        if (current.state() == state) {
            out.println(id + " is already " + state);
            return;
        }
        awaitRevision(
                store.apply(
                        new Change(key, stored.revision(), Optional.of(current.withState(state)))));
    }

    void startRollout(final String id, final String proven, final String candidate)
            throws CommandException {
        final Rollout rollout =
                new Rollout(
                        RolloutId.of(id),
                        VersionId.parse(proven),
                        VersionId.parse(candidate),
                        Rollout.State.RUNNING,
                        List.of(0.05, 0.25, 1.0),
                        Tolerance.DEFAULT);
        awaitRevision(
                store.apply(
                        new Change(
                                Keys.declaration(DeclarationKind.ROLLOUT, id),
                                Revision.NONE,
                                Optional.of(rollout))));
    }

    void setRolloutState(final String id, final Rollout.State state) throws CommandException {
        final ObjectKey key = Keys.declaration(DeclarationKind.ROLLOUT, id);
        final StoredObject stored = store.read(key);
        final Rollout current = decode(stored, Rollout.class);
        awaitRevision(
                store.apply(
                        new Change(key, stored.revision(), Optional.of(current.withState(state)))));
    }

    void reconcile(final Path completeFile) throws CommandException {
        final Set<RequestId> complete = new HashSet<>();
        try {
            Files.readAllLines(completeFile).stream()
                    .filter(l -> !l.isBlank())
                    .forEach(l -> complete.add(RequestId.of(l.trim())));
        } catch (final IOException e) {
            throw new CommandException(ExitCode.USAGE, "cannot read " + completeFile);
        }
        final Reconciliation result = Reconciliation.of(store, complete);
        out.println("complete requests: " + complete.size());
        out.println("bills: " + result.bills().size() + ", duplicates: " + result.duplicates());
        result.unbilled().forEach(r -> out.println("complete but not billed: " + r));
        result.unexpected().forEach(r -> out.println("billed but not known to be complete: " + r));
        result.conflicting().forEach(r -> out.println("two different bills: " + r));
        final boolean isConsistent = result.unbilled().isEmpty() && result.conflicting().isEmpty();
        if (!isConsistent) {
            throw new CommandException(
                    ExitCode.REFUSED, "the bills do not match the complete requests");
        }
    }

    private Map<RolloutId, RolloutProgress> rolloutProgress() throws CommandException {
        final Map<RolloutId, RolloutProgress> all = new TreeMap<>();
        for (final StoredObject object : store.list(Keys.ROLLOUTS)) {
            if (object.value().isPresent()) {
                try {
                    all.put(
                            RolloutId.of(object.key().name()),
                            Json.read(object.value().get(), RolloutProgress.class));
                } catch (final MalformedValueException e) {
                    throw new CommandException(ExitCode.REFUSED, e.getMessage());
                }
            }
        }
        return all;
    }

    private void awaitRevision(final Revision revision) throws CommandException {
        final VmStatusReader.RevisionCount count = vmStatus.awaitRevision(revision, maxWait);
        out.println(
                "revision "
                        + revision
                        + " is in force on "
                        + count.updated()
                        + " of "
                        + count.alive()
                        + " VMs");
    }

    private List<Change> planChanges(final Path directory) throws CommandException {
        return Planner.plan(readDeclarations(directory), store.list(Keys.CONFIGURATION));
    }

    private void print(final Change change) {
        out.println(
                change.symbol()
                        + " "
                        + change.key()
                        + change.declaration().map(d -> " " + d).orElse(""));
    }

    private static Map<ObjectKey, Object> readDeclarations(final Path directory)
            throws CommandException {
        try {
            return DeclarationFiles.read(directory);
        } catch (final IniException e) {
            throw new CommandException(ExitCode.REFUSED, e.getMessage());
        }
    }

    private static <T> T decode(final StoredObject stored, final Class<T> type)
            throws CommandException {
        try {
            final Optional<Object> declaration = Declarations.decode(stored);
            if (declaration.isPresent()) {
                return type.cast(declaration.get());
            }
        } catch (final MalformedValueException e) {
            throw new CommandException(ExitCode.REFUSED, e.getMessage());
        }
        throw new CommandException(ExitCode.REFUSED, stored.key() + " is not declared");
    }
}
