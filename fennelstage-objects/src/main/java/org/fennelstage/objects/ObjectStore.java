package org.fennelstage.objects;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;

/**
 * The platform's object store: versioned objects with conditional writes and watches.
 *
 * <p>Invariant: a write takes effect only if the key's revision is the expected one; writes are
 * totally ordered; reads may be stale. Futures never complete exceptionally: failures are results.
 * Thread-safe.
 */
public interface ObjectStore {

    /**
     * Reads one object.
     *
     * @param key the key
     * @param priority the priority of the call when the call budget is low
     * @return the object, or why it could not be read
     */
    CompletableFuture<ReadResult> read(ObjectKey key, CallPriority priority);

    /**
     * Writes an object if its revision is the expected one.
     *
     * @param key the key
     * @param expected the revision it must have; {@link Revision#NONE} if it must not exist
     * @param value the bytes
     * @param priority the priority of the call when the call budget is low
     * @return whether the write took effect, as far as it is known
     */
    CompletableFuture<WriteResult> write(
            ObjectKey key, Revision expected, byte[] value, CallPriority priority);

    /**
     * Deletes an object if its revision is the expected one.
     *
     * @param key the key
     * @param expected the revision it must have
     * @param priority the priority of the call when the call budget is low
     * @return whether the deletion took effect, as far as it is known
     */
    CompletableFuture<WriteResult> delete(ObjectKey key, Revision expected, CallPriority priority);

    /**
     * Returns the current state of all objects under a prefix that changed after a revision,
     * including deletions, and waits for the first such change if there is none. Since it returns
     * state instead of events, a duplicate or lost response is harmless.
     *
     * @param prefix the prefix of the keys
     * @param since the revision after which objects have changed
     * @param wait the longest wait for a change; zero for a list
     * @param priority the priority of the call when the call budget is low
     * @return the objects, or why they could not be read
     */
    CompletableFuture<ChangesResult> changes(
            String prefix, Revision since, Duration wait, CallPriority priority);
}
