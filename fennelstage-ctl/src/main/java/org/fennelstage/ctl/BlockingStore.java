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

/**
 * Access to the object store that blocks until each call has ended and throws on failure.
 * Thread-safe.
 */
final class BlockingStore {

    private static final int MAX_WRITE_RETRIES = 5;

    private final ObjectStore store;

    BlockingStore(final ObjectStore store) {
        this.store = store;
    }

    List<StoredObject> list(final String prefix) throws CommandException {
        final ChangesResult result =
                store.changes(prefix, Revision.NONE, Duration.ZERO, CallPriority.NORMAL).join();
        if (result instanceof ChangesResult.Changed changed) {
            return changed.objects();
        }
        throw new CommandException(
                ExitCode.REFUSED, "the object API is unavailable; nothing was written");
    }

    StoredObject read(final ObjectKey key) throws CommandException {
        final ReadResult result = store.read(key, CallPriority.URGENT).join();
        if (result instanceof ReadResult.Found found) {
            return found.object();
        }
        throw new CommandException(
                ExitCode.REFUSED, "the object API is unavailable; nothing was written");
    }

    /**
     * Writes one change.
     *
     * @param change the change
     * @return the object's new revision
     * @throws CommandException with {@link ExitCode#REFUSED} if the change was not written, and
     *     with {@link ExitCode#UNKNOWN} if no response shows whether it was
     */
    Revision apply(final Change change) throws CommandException {
        final String changeId = UUID.randomUUID().toString();
        final WriteResult result = write(change, changeId);
        if (result instanceof WriteResult.Written written) {
            return written.revision();
        }
        if (result instanceof WriteResult.Conflict conflict) {
            throw conflict(change, conflict.current());
        }
        if (result instanceof WriteResult.NotWritten notWritten) {
            throw new CommandException(
                    ExitCode.REFUSED, change.key() + " was not written: " + notWritten.detail());
        }
        return retryWrite(change, changeId);
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
     * Repeats a write to which no response was received, under the same condition, which at most
     * one of the writes can meet. On a conflict, the change id in the stored object shows whether
     * an earlier one of these writes took effect. Reading the object would not suffice, since an
     * unchanged revision does not exclude that a delayed write takes effect later.
     */
    private Revision retryWrite(final Change change, final String changeId)
            throws CommandException {
        for (int i = 0; i < MAX_WRITE_RETRIES; i++) {
            final WriteResult result = write(change, changeId);
            if (result instanceof WriteResult.Written written) {
                return written.revision();
            }
            if (result instanceof WriteResult.Conflict conflict) {
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
                throw conflict(change, current);
            }
        }
        throw new CommandException(
                ExitCode.UNKNOWN,
                change.key()
                        + ": no response shows whether the change was written; run plan to check");
    }

    private static CommandException conflict(final Change change, final StoredObject current) {
        return new CommandException(
                ExitCode.REFUSED,
                change.key()
                        + " was changed concurrently (revision "
                        + current.revision()
                        + "); its current value is "
                        + describe(current)
                        + "; the change was not written");
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
