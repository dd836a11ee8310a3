package org.fennelstage.objects;

import org.fennelstage.configuration.StoredObject;

/** The result of a read. Immutable and thread-safe. */
public sealed interface ReadResult {

    /**
     * The object, possibly not at its newest revision.
     *
     * @param object the object; a tombstone with revision 0 if it never existed
     */
    record Found(StoredObject object) implements ReadResult {}

    /**
     * The object could not be read.
     *
     * @param detail a description for logs and error messages
     */
    record Unavailable(String detail) implements ReadResult {}
}
