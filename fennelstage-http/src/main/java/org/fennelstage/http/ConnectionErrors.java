package org.fennelstage.http;

import java.lang.System.Logger.Level;

/** How errors that end a connection are logged. Stateless and thread-safe. */
final class ConnectionErrors {

    private ConnectionErrors() {}

    /** Returns the level; a VM without memory ends sound connections and has to be found. */
    static Level level(final Throwable cause) {
        return cause instanceof Error ? Level.WARNING : Level.DEBUG;
    }
}
