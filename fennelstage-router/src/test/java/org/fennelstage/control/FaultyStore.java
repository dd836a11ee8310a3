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
 * An object API whose calls take effect when a test says so, in any order, with answers lost, late
 * effects after the answer "unknown", refusals and stale reads. Not thread-safe.
 */
final class FaultyStore implements ObjectStore {

    private final MemoryObjectStore truth = MemoryObjectStore.empty();
    private final Map<ObjectKey, List<StoredObject>> history = new HashMap<>();
    private final List<Runnable> pending = new ArrayList<>();
    private final Random random;
    private boolean healthy;

    FaultyStore(final Random random) {
        this.random = random;
    }

    void step() {
        if (!pending.isEmpty()) {
            pending.remove(random.nextInt(pending.size())).run();
        }
    }

    void heal() {
        healthy = true;
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    MemoryObjectStore truth() {
        return truth;
    }

    @Override
    public CompletableFuture<ReadResult> read(final ObjectKey key, final CallPriority priority) {
        final CompletableFuture<ReadResult> answer = new CompletableFuture<>();
        pending.add(
                () -> {
                    if (strikes(4)) {
                        answer.complete(new ReadResult.Unavailable("down"));
                    } else {
                        answer.complete(new ReadResult.Found(perhapsStale(key)));
                    }
                });
        return answer;
    }

    @Override
    public CompletableFuture<WriteResult> write(
            final ObjectKey key,
            final Revision expected,
            final byte[] value,
            final CallPriority priority) {
        final CompletableFuture<WriteResult> answer = new CompletableFuture<>();
        pending.add(() -> perform(key, expected, value, answer));
        return answer;
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
        final CompletableFuture<ChangesResult> answer = new CompletableFuture<>();
        pending.add(
                () -> {
                    if (strikes(4)) {
                        answer.complete(new ChangesResult.Unavailable("down"));
                        return;
                    }
                    final ChangesResult.Changed now =
                            (ChangesResult.Changed)
                                    truth.changes(prefix, since, Duration.ZERO, priority).join();
                    final List<StoredObject> seen =
                            now.objects().stream().map(o -> perhapsStale(o.key())).toList();
                    answer.complete(new ChangesResult.Changed(seen, now.upTo()));
                });
        return answer;
    }

    private void perform(
            final ObjectKey key,
            final Revision expected,
            final byte[] value,
            final CompletableFuture<WriteResult> answer) {
        if (strikes(6)) {
            answer.complete(new WriteResult.NotWritten("refused"));
        } else if (strikes(5)) {
            // The caller hears "unknown" now, and the write takes effect later, or never.
            if (random.nextBoolean()) {
                pending.add(() -> put(key, expected, value));
            }
            answer.complete(new WriteResult.Unknown("lost"));
        } else {
            final WriteResult result = put(key, expected, value);
            answer.complete(strikes(4) ? new WriteResult.Unknown("lost") : result);
        }
    }

    private WriteResult put(final ObjectKey key, final Revision expected, final byte[] value) {
        final WriteResult result = truth.write(key, expected, value, CallPriority.NORMAL).join();
        if (result instanceof WriteResult.Written) {
            history.computeIfAbsent(key, k -> new ArrayList<>()).add(truth.current(key));
        }
        return result;
    }

    private StoredObject perhapsStale(final ObjectKey key) {
        final List<StoredObject> all = history.getOrDefault(key, List.of());
        return all.isEmpty() || !strikes(3)
                ? truth.current(key)
                : all.get(random.nextInt(all.size()));
    }

    private boolean strikes(final int oneIn) {
        return !healthy && random.nextInt(oneIn) == 0;
    }
}
