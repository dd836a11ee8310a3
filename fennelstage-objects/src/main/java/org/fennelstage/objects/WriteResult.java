package org.fennelstage.objects;

import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;

/** The end of a conditional write. Immutable and thread-safe. */
public sealed interface WriteResult {

    /**
     * It took effect.
     *
     * @param revision the object's new revision
     */
    record Written(Revision revision) implements WriteResult {}

    /**
     * It did not take effect: the object had another revision.
     *
     * @param current the object as it stands
     */
    record Conflict(StoredObject current) implements WriteResult {}

    /**
     * It did not take effect and never will.
     *
     * @param detail text for a person
     */
    record NotWritten(String detail) implements WriteResult {}

    /**
     * Nobody can tell: the answer was lost. The writer reads the object back, or repeats the same
     * conditional write.
     *
     * @param detail text for a person
     */
    record Unknown(String detail) implements WriteResult {}
}
