package org.fennelstage.ctl;

import java.util.Optional;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;

/**
 * One difference between what is declared and what is stored. Immutable and thread-safe.
 *
 * @param key the object
 * @param expected the revision that the stored object has, {@link Revision#NONE} if there is none
 * @param declaration what is to be stored, empty to delete
 */
record Change(ObjectKey key, Revision expected, Optional<Object> declaration) {

    String sign() {
        if (declaration.isEmpty()) {
            return "-";
        }
        return expected.equals(Revision.NONE) ? "+" : "~";
    }
}
