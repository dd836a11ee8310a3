package org.fennelstage.objects;

/**
 * The priority of a call to the object API; the first is the highest. Immutable and thread-safe.
 */
public enum CallPriority {
    /** Calls that a request or an operator waits for, such as claims. */
    URGENT,
    /** Calls that may be delayed by a second, such as bills and configuration. */
    NORMAL,
    /** Calls that may be skipped, such as status reports. */
    BACKGROUND
}
