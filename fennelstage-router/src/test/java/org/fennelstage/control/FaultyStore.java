package org.fennelstage.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.ChangesResult;
import org.fennelstage.objects.MemoryObjectStore;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.objects.ReadResult;
import org.fennelstage.objects.WriteResult;

/**
 * A store whose calls take effect only in {@link #step}, in random order, with lost results, writes
 * that take effect after an unknown result, rejections and stale reads. Not thread-safe.
 */
final class FaultyStore implements ObjectStore {

    private final MemoryObjectStore backing = MemoryObjectStore.empty();
    private final Map<ObjectKey, List<StoredObject>> history = new HashMap<>();
    private final List<Runnable> pending = new ArrayList<>();
    private final Random random;
    private boolean faultsDisabled;

    FaultyStore(final Random random) {
        this.random = random;
    }

    void step() {
        if (!pending.isEmpty()) {
            pending.remove(random.nextInt(pending.size())).run();
        }
    }

    void disableFaults() {
        faultsDisabled = true;
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    MemoryObjectStore backing() {
        return backing;
    }

    @Override
    public CompletableFuture<ReadResult> read(final ObjectKey key, final CallPriority priority) {
        final CompletableFuture<ReadResult> future = new CompletableFuture<>();
        pending.add(
                () -> {
                    if (injectsFault(4)) {
                        future.complete(new ReadResult.Unavailable("unavailable"));
                    } else {
                        future.complete(new ReadResult.Found(possiblyStale(key)));
                    }
                });
        return future;
    }

    @Override
    public CompletableFuture<WriteResult> write(
            final ObjectKey key,
            final Revision expected,
            final byte[] value,
            final CallPriority priority) {
        final CompletableFuture<WriteResult> future = new CompletableFuture<>();
        pending.add(() -> perform(key, expected, value, future));
        return future;
    }

    @Override
    public CompletableFuture<WriteResult> delete(
            final ObjectKey key, final Revision expected, final CallPriority priority) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<ChangesResult> changes(
            final String prefix,
            final Revision since,
            final Duration wait,
            final CallPriority priority) {
        final CompletableFuture<ChangesResult> future = new CompletableFuture<>();
        pending.add(
                () -> {
                    if (injectsFault(4)) {
                        future.complete(new ChangesResult.Unavailable("unavailable"));
                        return;
                    }
                    final ChangesResult.Changed now =
                            (ChangesResult.Changed)
                                    backing.changes(prefix, since, Duration.ZERO, priority).join();
                    final List<StoredObject> seen =
                            now.objects().stream().map(o -> possiblyStale(o.key())).toList();
                    future.complete(new ChangesResult.Changed(seen, now.upTo()));
                });
        return future;
    }

    private void perform(
            final ObjectKey key,
            final Revision expected,
            final byte[] value,
            final CompletableFuture<WriteResult> future) {
        if (injectsFault(6)) {
            future.complete(new WriteResult.NotWritten("rejected"));
        } else if (injectsFault(5)) {
            // The result is unknown now, and the write takes effect later or never.
            if (random.nextBoolean()) {
                pending.add(() -> put(key, expected, value));
            }
            future.complete(new WriteResult.Unknown("response lost"));
        } else {
            final WriteResult result = put(key, expected, value);
            future.complete(injectsFault(4) ? new WriteResult.Unknown("response lost") : result);
        }
    }

    private WriteResult put(final ObjectKey key, final Revision expected, final byte[] value) {
        final WriteResult result = backing.write(key, expected, value, CallPriority.NORMAL).join();
        if (result instanceof WriteResult.Written) {
            history.computeIfAbsent(key, k -> new ArrayList<>()).add(backing.current(key));
        }
        return result;
    }

    private StoredObject possiblyStale(final ObjectKey key) {
        final List<StoredObject> all = history.getOrDefault(key, List.of());
        return all.isEmpty() || !injectsFault(3)
                ? backing.current(key)
                : all.get(random.nextInt(all.size()));
    }

    private boolean injectsFault(final int oneIn) {
        return !faultsDisabled && random.nextInt(oneIn) == 0;
    }
}
