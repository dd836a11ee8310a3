package org.fennelstage.http;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.Optional;

/**
 * A request in flight, as its sender controls it.
 *
 * <p>Invariant: after {@link #cancel()} the listener is not called any more, so late bytes of a
 * cancelled attempt cannot get into the response of another attempt.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class Call {

    private Channel channel;
    private Optional<Long> writtenNanos = Optional.empty();
    private Runnable onCancelled = () -> {};
    private boolean cancelled;
    private boolean paused;

    Call() {}

    /** Cancels the call and closes its connection, from which the server sees that it may stop. */
    public void cancel() {
        cancelled = true;
        onCancelled.run();
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Pauses or resumes reading the response; applies backpressure to the server.
     *
     * @param pause true to pause, false to resume
     */
    public void pause(final boolean pause) {
        paused = pause;
        if (channel != null) {
            channel.config().setAutoRead(!pause);
        }
    }

    /**
     * Returns how long ago the request was written, which is after its connection was opened.
     *
     * @return the time, empty if it was not written yet
     */
    public Optional<Duration> sinceWritten() {
        return writtenNanos.map(written -> Duration.ofNanos(System.nanoTime() - written));
    }

    /** Sets what runs when the call is cancelled, as often as that happens. */
    void onCancelled(final Runnable action) {
        onCancelled = action;
    }

    void onWritten() {
        writtenNanos = Optional.of(System.nanoTime());
    }

    boolean isCancelled() {
        return cancelled;
    }

    void attach(final Channel to) {
        channel = to;
        if (cancelled) {
            to.close();
        } else {
            to.config().setAutoRead(!paused);
        }
    }

    void detach() {
        channel = null;
    }
}
