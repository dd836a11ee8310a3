package org.fennelstage.route;

import io.netty.channel.EventLoop;

/** Runs actions on event loops. Stateless and thread-safe. */
final class EventLoops {

    private EventLoops() {}

    /**
     * Runs an action on a loop: immediately if called from the loop's thread, else asynchronously.
     */
    static void run(final EventLoop loop, final Runnable action) {
        if (loop.inEventLoop()) {
            action.run();
        } else {
            loop.execute(action);
        }
    }
}
