package org.fennelstage.objects;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;

/**
 * The platform's object API: versioned objects, conditional updates and watches.
 *
 * <p>Laws: a write takes effect only if the key's revision is the expected one; writes have one
 * order; reads may be stale. Every future completes normally: failures are part of the results.
 * Thread-safe.
 */
public interface ObjectStore {

    /**
     * Reads one object.
     *
     * @param key the key
     * @param priority how much the call matters when calls are scarce
     * @return the object, or why it could not be read
     */
    CompletableFuture<ReadResult> read(ObjectKey key, CallPriority priority);

    /**
     * Writes an object if its revision is the expected one.
     *
     * @param key the key
     * @param expected the revision it must have; {@link Revision#NONE} if it must not exist
     * @param value the bytes
     * @param priority how much the call matters when calls are scarce
     * @return whether the write took effect, as far as can be told
     */
    CompletableFuture<WriteResult> write(
            ObjectKey key, Revision expected, byte[] value, CallPriority priority);

    /**
     * Deletes an object if its revision is the expected one.
     *
     * @param key the key
     * @param expected the revision it must have
     * @param priority how much the call matters when calls are scarce
     * @return whether the deletion took effect, as far as can be told
     */
    CompletableFuture<WriteResult> delete(ObjectKey key, Revision expected, CallPriority priority);

    /**
     * Returns the present state of all objects below a prefix that changed after a revision,
     * deletions included, waiting for the first such change if there is none. Since it returns
     * state and not events, a repeated or lost answer does no harm.
     *
     * @param prefix the beginning of the keys
     * @param since the revision
     * @param wait how long to wait; zero for a plain list
     * @param priority how much the call matters when calls are scarce
     * @return the objects, or why they could not be had
     */
    CompletableFuture<ChangesResult> changes(
            String prefix, Revision since, Duration wait, CallPriority priority);
}
