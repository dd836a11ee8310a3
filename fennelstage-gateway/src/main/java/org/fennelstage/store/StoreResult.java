package org.fennelstage.store;

/**
 * How a call to the store ended. Implementations are immutable and thread-safe.
 *
 * @param <T> what a call that succeeds returns
 */
public sealed interface StoreResult<T> {

    /**
     * The call took effect.
     *
     * @param <T> what it returns
     * @param value the result
     */
    record Done<T>(T value) implements StoreResult<T> {}

    /**
     * The store no longer has the history that was asked for.
     *
     * @param <T> what the call would have returned
     */
    record HistoryGone<T>() implements StoreResult<T> {}

    /**
     * The object has another revision; nothing was written.
     *
     * @param <T> what the call would have returned
     */
    record Conflict<T>() implements StoreResult<T> {}

    /**
     * Nothing was done, or nothing is known of what was done.
     *
     * @param <T> what the call would have returned
     * @param mayHaveTakenEffect whether a write may have been done, or may be done later
     * @param detail why
     */
    record Unavailable<T>(boolean mayHaveTakenEffect, String detail) implements StoreResult<T> {}

    /**
     * The VM that was asked has the answer, and its link cannot carry it to all who asked; the
     * store itself is to be asked. That VM is well.
     *
     * @param <T> what the call would have returned
     */
    record TooLarge<T>() implements StoreResult<T> {}
}
