package org.fennelstage.objects;

import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;

/** The result of a conditional write. Immutable and thread-safe. */
public sealed interface WriteResult {

    /**
     * The write took effect.
     *
     * @param revision the object's new revision
     */
    record Written(Revision revision) implements WriteResult {}

    /**
     * The write did not take effect, since the object had another revision.
     *
     * @param current the current state of the object
     */
    record Conflict(StoredObject current) implements WriteResult {}

    /**
     * The write did not take effect and never will.
     *
     * @param detail a description for logs and error messages
     */
    record NotWritten(String detail) implements WriteResult {}

    /**
     * It is unknown whether the write took effect, since no response was received. The writer reads
     * the object back, or retries the same conditional write.
     *
     * @param detail a description for logs and error messages
     */
    record Unknown(String detail) implements WriteResult {}
}
