package org.fennelstage.http;

import io.netty.channel.Channel;

/**
 * A call under way.
 *
 * <p>Law: after {@link #cancel()} the listener hears nothing more, so late bytes of a cancelled
 * attempt cannot reach another's answer. Confined to the call's event loop.
 */
public final class Call {

    private Channel channel;
    private boolean cancelled;
    private boolean paused;

    Call() {}

    /** Gives the response up and closes its connection, which tells the server to stop. */
    public void cancel() {
        cancelled = true;
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Stops or resumes reading the response, so that a slow caller slows the server down.
     *
     * @param pause true to stop reading
     */
    public void pause(final boolean pause) {
        paused = pause;
        if (channel != null) {
            channel.config().setAutoRead(!pause);
        }
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
