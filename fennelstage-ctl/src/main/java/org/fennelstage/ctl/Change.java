package org.fennelstage.ctl;

import java.util.Optional;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;

/**
 * A write that makes one stored object equal to its declaration. Immutable and thread-safe.
 *
 * @param key the key of the object
 * @param expected the object's current revision; {@link Revision#NONE} if it does not exist
 * @param declaration the declaration to store; empty to delete the object
 */
record Change(ObjectKey key, Revision expected, Optional<Object> declaration) {

    /** Returns {@code +} for a creation, {@code ~} for an update and {@code -} for a deletion. */
    String symbol() {
        if (declaration.isEmpty()) {
            return "-";
        }
        return expected.equals(Revision.NONE) ? "+" : "~";
    }
}
