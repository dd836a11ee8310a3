package org.fennelstage.objects;

/** Paths, headers and bodies of the object API over HTTP. Stateless and thread-safe. */
public final class ObjectApiProtocol {

    /** The path prefix of single objects. */
    public static final String OBJECTS = "/v1/objects/";

    /** The path of lists and watches. */
    public static final String CHANGES = "/v1/changes";

    /** The request header with the expected revision; 0 if the object must not exist. */
    public static final String EXPECTED = "if-match";

    /** The response header with the object's revision. */
    public static final String REVISION = "x-revision";

    private ObjectApiProtocol() {}

    /**
     * One object in the response to a list or watch.
     *
     * @param key the key
     * @param revision the revision
     * @param value the bytes, null for a tombstone
     */
    public record WireObject(String key, long revision, byte[] value) {}

    /**
     * The response to a list or watch.
     *
     * @param revision the revision to continue from
     * @param objects the objects
     */
    public record WireChanges(long revision, java.util.List<WireObject> objects) {}
}
