package org.fennelstage.main;

import java.io.IOException;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Stops what a process runs when the process receives the signal to end.
 *
 * <p>Invariant: the hook is there before the start begins, since a VM accepts callers before its
 * start has returned; what is to be stopped meanwhile is stopped once it runs. Stateless and
 * thread-safe.
 */
final class GracefulStop {

    /**
     * Starts what the process runs.
     *
     * @param <V> its type
     */
    @FunctionalInterface
    interface Starter<V> {

        /**
         * Starts it.
         *
         * @return what runs
         * @throws IOException if it cannot start
         */
        V start() throws IOException;
    }

    private GracefulStop() {}

    /**
     * Starts what the process runs.
     *
     * @param <V> its type
     * @param starter starts it
     * @param stop stops it
     * @param hooks registers a thread to run when the process receives the signal to end
     * @throws IOException if it cannot start
     */
    static <V> void start(
            final Starter<V> starter, final Consumer<V> stop, final Consumer<Thread> hooks)
            throws IOException {
        Objects.requireNonNull(stop, "stop is null");
        final CompletableFuture<V> started = new CompletableFuture<>();
        hooks.accept(new Thread(() -> stopOnceStarted(started, stop), "graceful-stop"));
        try {
            started.complete(starter.start());
        } finally {
            // Without effect unless the start failed; the hook would wait for it in vain.
            started.cancel(false);
        }
    }

    private static <V> void stopOnceStarted(
            final CompletableFuture<V> started, final Consumer<V> stop) {
        started.handle(
                        (running, failure) -> {
                            if (failure == null) {
                                stop.accept(running);
                            }
                            return running;
                        })
                .join();
    }
}
