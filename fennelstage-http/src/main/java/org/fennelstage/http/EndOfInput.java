package org.fennelstage.http;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Decides whether the end of input of a connection completes a response without a length.
 *
 * <p>A server that fails while bytes of its request are unread closes its side and then resets the
 * connection. One that responds before it has read its request closes its side and reads on. The
 * end of input is the same in both cases; they differ in what follows.
 *
 * <p>Invariant: a response is complete only if its request is written and its connection has not
 * failed since the end of input; it is decided once. If the connection is closed before, nothing is
 * decided.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class EndOfInput {

    /** How long a connection whose server may have left bytes unread is observed. */
    static final Duration RESET_DELAY = Duration.ofMillis(5);

    private final EventExecutor executor;
    private final BooleanSupplier connectionFailed;
    private final boolean requestHasContent;
    private boolean requestWritten;
    private Optional<Consumer<Boolean>> decision = Optional.empty();

    /**
     * Creates the state of one call.
     *
     * @param executor the event loop of the connection
     * @param connectionFailed returns whether the connection has failed
     * @param requestHasContent whether the request has a body, of which bytes can be left unread
     */
    EndOfInput(
            final EventExecutor executor,
            final BooleanSupplier connectionFailed,
            final boolean requestHasContent) {
        this.executor = Objects.requireNonNull(executor, "executor is null");
        this.connectionFailed =
                Objects.requireNonNull(connectionFailed, "connectionFailed is null");
        this.requestHasContent = requestHasContent;
    }

    /** To be called when the whole request has been written to the socket. */
    void onRequestWritten() {
        requestWritten = true;
        if (isAwaited()) {
            observe();
        }
    }

    /**
     * To be called at the end of input of a connection, if it ends the body of the response.
     *
     * @param decided receives true if the response is complete, false if its connection has failed
     */
    void onInputEnded(final Consumer<Boolean> decided) {
        decision = Optional.of(decided);
        if (requestWritten) {
            observe();
        }
    }

    /** Returns whether the whole request has been written to the socket. */
    boolean isRequestWritten() {
        return requestWritten;
    }

    /** Returns whether the input has ended and it is not decided what this means. */
    boolean isAwaited() {
        return decision.isPresent();
    }

    private void observe() {
        if (requestHasContent) {
            executor.schedule(this::decide, RESET_DELAY.toNanos(), TimeUnit.NANOSECONDS);
        } else {
            decide();
        }
    }

    private void decide() {
        final Consumer<Boolean> decided = decision.orElseThrow();
        decision = Optional.empty();
        decided.accept(!connectionFailed.getAsBoolean());
    }
}
