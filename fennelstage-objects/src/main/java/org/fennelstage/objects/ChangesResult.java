package org.fennelstage.objects;

import java.util.List;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;

/** The end of a list or watch. Immutable and thread-safe. */
public sealed interface ChangesResult {

    /**
     * What changed.
     *
     * @param objects the present state of each changed object
     * @param upTo the revision to continue from
     */
    record Changed(List<StoredObject> objects, Revision upTo) implements ChangesResult {
        public Changed {
            objects = List.copyOf(objects);
        }
    }

    /**
     * The changes could not be had.
     *
     * @param detail text for a person
     */
    record Unavailable(String detail) implements ChangesResult {}
}
