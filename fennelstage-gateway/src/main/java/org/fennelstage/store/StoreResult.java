package org.fennelstage.store;

/**
 * The result of a call to the store. Implementations are immutable and thread-safe.
 *
 * @param <T> the type of the value that a successful call returns
 */
public sealed interface StoreResult<T> {

    /**
     * The call succeeded.
     *
     * @param <T> the type of the value that the call returns
     * @param value the value
     */
    record Done<T>(T value) implements StoreResult<T> {}

    /**
     * The store no longer keeps the history since the requested position.
     *
     * @param <T> the type of the value that the call would have returned
     */
    record HistoryGone<T>() implements StoreResult<T> {}

    /**
     * A conditional write failed: the object has another revision. Nothing was written.
     *
     * @param <T> the type of the value that the call would have returned
     */
    record Conflict<T>() implements StoreResult<T> {}

    /**
     * The call failed, or its outcome is unknown.
     *
     * @param <T> the type of the value that the call would have returned
     * @param mayHaveTakenEffect whether a write may have taken effect, or may still take effect
     * @param detail the cause, for the log
     */
    record Unavailable<T>(boolean mayHaveTakenEffect, String detail) implements StoreResult<T> {}

    /**
     * The relay has the response but lacks the bandwidth to send it to every VM that called it. The
     * call has to be made directly to the store. The relay has not failed.
     *
     * @param <T> the type of the value that the call would have returned
     */
    record TooLarge<T>() implements StoreResult<T> {}
}
