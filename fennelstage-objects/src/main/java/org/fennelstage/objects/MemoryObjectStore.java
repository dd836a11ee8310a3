package org.fennelstage.objects;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;

/**
 * An object store in memory, for tests and the object API stand-in.
 *
 * <p>Thread-safe; one lock guards all state, and futures are completed outside of it.
 */
public final class MemoryObjectStore implements ObjectStore, AutoCloseable {

    private final NavigableMap<ObjectKey, StoredObject> objects = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(
                    r -> {
                        final Thread thread = new Thread(r, "memory-object-store");
                        thread.setDaemon(true);
                        return thread;
                    });
    private long lastRevision;

    private MemoryObjectStore() {}

    private record Watch(
            String prefix, Revision since, CompletableFuture<ChangesResult> response) {}

    /**
     * Returns an empty store.
     *
     * @return the store
     */
    public static MemoryObjectStore empty() {
        return new MemoryObjectStore();
    }

    @Override
    public CompletableFuture<ReadResult> read(final ObjectKey key, final CallPriority priority) {
        return CompletableFuture.completedFuture(new ReadResult.Found(current(key)));
    }

    @Override
    public CompletableFuture<WriteResult> write(
            final ObjectKey key,
            final Revision expected,
            final byte[] value,
            final CallPriority priority) {
        return CompletableFuture.completedFuture(put(key, expected, Optional.of(value)));
    }

    @Override
    public CompletableFuture<WriteResult> delete(
            final ObjectKey key, final Revision expected, final CallPriority priority) {
        return CompletableFuture.completedFuture(put(key, expected, Optional.empty()));
    }

    @Override
    public CompletableFuture<ChangesResult> changes(
            final String prefix,
            final Revision since,
            final Duration wait,
            final CallPriority priority) {
        final CompletableFuture<ChangesResult> response = new CompletableFuture<>();
        synchronized (this) {
            final ChangesResult.Changed changed = changed(prefix, since);
            if (!changed.objects().isEmpty() || wait.isZero()) {
                return CompletableFuture.completedFuture(changed);
            }
            watches.add(new Watch(prefix, since, response));
        }
        scheduler.schedule(
                () -> expire(prefix, since, response), wait.toMillis(), TimeUnit.MILLISECONDS);
        return response;
    }

    /**
     * Returns the current state of an object.
     *
     * @param key the key
     * @return the object; a tombstone with revision 0 if it never existed
     */
    public synchronized StoredObject current(final ObjectKey key) {
        final StoredObject object = objects.get(key);
        return object != null ? object : StoredObject.tombstone(key, Revision.NONE);
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    private WriteResult put(
            final ObjectKey key, final Revision expected, final Optional<byte[]> value) {
        final List<Runnable> completions = new ArrayList<>();
        final WriteResult result;
        synchronized (this) {
            final StoredObject stored = current(key);
            final Revision actual = stored.value().isPresent() ? stored.revision() : Revision.NONE;
            if (!actual.equals(expected)) {
                return new WriteResult.Conflict(stored);
            }
            lastRevision++;
            final Revision revision = Revision.of(lastRevision);
            objects.put(key, new StoredObject(key, revision, value));
            result = new WriteResult.Written(revision);
            watches.removeIf(w -> completeWatch(w, key, completions));
        }
        completions.forEach(Runnable::run);
        return result;
    }

    private boolean completeWatch(
            final Watch watch, final ObjectKey key, final List<Runnable> completions) {
        if (!key.path().startsWith(watch.prefix())) {
            return false;
        }
        final ChangesResult.Changed changed = changed(watch.prefix(), watch.since());
        completions.add(() -> watch.response().complete(changed));
        return true;
    }

    private void expire(
            final String prefix,
            final Revision since,
            final CompletableFuture<ChangesResult> response) {
        final ChangesResult.Changed changed;
        synchronized (this) {
            watches.removeIf(w -> w.response() == response);
            changed = changed(prefix, since);
        }
        response.complete(changed);
    }

    private ChangesResult.Changed changed(final String prefix, final Revision since) {
        final List<StoredObject> found =
                objects.values().stream()
                        .filter(o -> o.key().path().startsWith(prefix))
                        .filter(o -> o.revision().isAfter(since))
                        .toList();
        return new ChangesResult.Changed(found, Revision.of(lastRevision));
    }
}
