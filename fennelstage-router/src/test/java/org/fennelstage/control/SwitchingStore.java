package org.fennelstage.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.ChangesResult;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.objects.ReadResult;
import org.fennelstage.objects.WriteResult;

/** Delegates calls to a store that a test can replace, and counts writes. Not thread-safe. */
final class SwitchingStore implements ObjectStore {

    private ObjectStore current;
    private int writes;

    SwitchingStore(final ObjectStore first) {
        current = first;
    }

    void switchTo(final ObjectStore next) {
        current = next;
    }

    int writes() {
        return writes;
    }

    @Override
    public CompletableFuture<ReadResult> read(final ObjectKey key, final CallPriority priority) {
        return current.read(key, priority);
    }

    @Override
    public CompletableFuture<WriteResult> write(
            final ObjectKey key,
            final Revision expected,
            final byte[] value,
            final CallPriority priority) {
        writes++;
        return current.write(key, expected, value, priority);
    }

    @Override
    public CompletableFuture<WriteResult> delete(
            final ObjectKey key, final Revision expected, final CallPriority priority) {
        return current.delete(key, expected, priority);
    }

    @Override
    public CompletableFuture<ChangesResult> changes(
            final String prefix,
            final Revision since,
            final Duration wait,
            final CallPriority priority) {
        return current.changes(prefix, since, wait, priority);
    }
}
