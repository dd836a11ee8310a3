package org.fennelstage.route;

import io.netty.channel.EventLoop;

/** Brings the ends of futures back to a request's event loop. Stateless and thread-safe. */
final class Loops {

    private Loops() {}

    /** Runs an action on a loop: at once if this is the loop's own thread, else soon. */
    static void run(final EventLoop loop, final Runnable action) {
        if (loop.inEventLoop()) {
            action.run();
        } else {
            loop.execute(action);
        }
    }
}
