package org.fennelstage.objects;

/** Names in the HTTP form of the object API, shared by the client and the stand-in. */
public final class ObjectApiProtocol {

    /** Path prefix of single objects. */
    public static final String OBJECTS = "/v1/objects/";

    /** Path of lists and watches. */
    public static final String CHANGES = "/v1/changes";

    /** Request header with the expected revision; 0 means that the object must not exist. */
    public static final String EXPECTED = "if-match";

    /** Response header with the object's revision. */
    public static final String REVISION = "x-revision";

    private ObjectApiProtocol() {}

    /**
     * One object in the answer to a list or watch.
     *
     * @param key the key
     * @param revision the revision
     * @param value the bytes, null for a tombstone
     */
    public record WireObject(String key, long revision, byte[] value) {}

    /**
     * The answer to a list or watch.
     *
     * @param revision the revision to continue from
     * @param objects the objects
     */
    public record WireChanges(long revision, java.util.List<WireObject> objects) {}
}
