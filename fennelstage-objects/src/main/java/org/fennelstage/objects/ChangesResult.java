package org.fennelstage.objects;

import java.util.List;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;

/** The result of a list or watch. Immutable and thread-safe. */
public sealed interface ChangesResult {

    /**
     * The changed objects.
     *
     * @param objects the current state of each changed object
     * @param upTo the revision to continue from
     */
    record Changed(List<StoredObject> objects, Revision upTo) implements ChangesResult {
        public Changed {
            objects = List.copyOf(objects);
        }
    }

    /**
     * The changes could not be read.
     *
     * @param detail a description for logs and error messages
     */
    record Unavailable(String detail) implements ChangesResult {}
}
