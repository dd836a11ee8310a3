package org.fennelstage.ctl;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.ChangesResult;
import org.fennelstage.objects.Declarations;
import org.fennelstage.objects.MalformedValueException;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.objects.ReadResult;
import org.fennelstage.objects.WriteResult;

/** The object API as commands use it: one call after the other, failures as exceptions. */
final class Store {

    private static final int READ_BACKS = 5;

    private final ObjectStore store;

    Store(final ObjectStore store) {
        this.store = store;
    }

    List<StoredObject> list(final String prefix) throws CommandException {
        final ChangesResult result =
                store.changes(prefix, Revision.NONE, Duration.ZERO, CallPriority.NORMAL).join();
        if (result instanceof ChangesResult.Changed changed) {
            return changed.objects();
        }
        throw new CommandException(
                Exit.REFUSED, "the object API cannot be reached; nothing was written");
    }

    StoredObject read(final ObjectKey key) throws CommandException {
        final ReadResult result = store.read(key, CallPriority.URGENT).join();
        if (result instanceof ReadResult.Found found) {
            return found.object();
        }
        throw new CommandException(
                Exit.REFUSED, "the object API cannot be reached; nothing was written");
    }

    /**
     * Makes one change.
     *
     * @param change the change
     * @return the new revision
     * @throws CommandException refused if another change came first, unknown if nobody can tell
     */
    Revision make(final Change change) throws CommandException {
        final String changeId = UUID.randomUUID().toString();
        final WriteResult result = write(change, changeId);
        if (result instanceof WriteResult.Written written) {
            return written.revision();
        }
        if (result instanceof WriteResult.Conflict conflict) {
            throw race(change, conflict.current());
        }
        if (result instanceof WriteResult.NotWritten notWritten) {
            throw new CommandException(
                    Exit.REFUSED, change.key() + " was not written: " + notWritten.detail());
        }
        return readBack(change, changeId);
    }

    private WriteResult write(final Change change, final String changeId) {
        return change.declaration()
                .map(
                        d ->
                                store.write(
                                        change.key(),
                                        change.expected(),
                                        Declarations.encode(changeId, d),
                                        CallPriority.URGENT))
                .orElseGet(() -> store.delete(change.key(), change.expected(), CallPriority.URGENT))
                .join();
    }

    /**
     * The answer was lost. The change id in the object tells whether the write that stands is ours;
     * an unchanged revision does not tell that it never will, so it is written again under the same
     * condition, which at most one of the two writes can meet.
     */
    private Revision readBack(final Change change, final String changeId) throws CommandException {
        for (int i = 0; i < READ_BACKS; i++) {
            final WriteResult again = write(change, changeId);
            if (again instanceof WriteResult.Written written) {
                return written.revision();
            }
            if (again instanceof WriteResult.Conflict conflict) {
                final StoredObject current = conflict.current();
                final boolean isOurs =
                        change.declaration().isPresent()
                                ? Declarations.changeId(current)
                                        .filter(changeId::equals)
                                        .isPresent()
                                : current.value().isEmpty();
                if (isOurs) {
                    return current.revision();
                }
                throw race(change, current);
            }
        }
        throw new CommandException(
                Exit.UNKNOWN, change.key() + ": the answer was lost; run plan to see what stands");
    }

    private static CommandException race(final Change change, final StoredObject current) {
        return new CommandException(
                Exit.REFUSED,
                change.key()
                        + " was changed by someone else (revision "
                        + current.revision()
                        + "); it now is "
                        + describe(current)
                        + "; it was not written");
    }

    static String describe(final StoredObject object) {
        try {
            final Optional<Object> declaration = Declarations.decode(object);
            return declaration.map(Object::toString).orElse("absent");
        } catch (final MalformedValueException e) {
            return "malformed";
        }
    }
}
