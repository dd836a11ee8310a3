package org.fennelstage.copy;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.fennelstage.store.Page;
import org.fennelstage.store.StoreKind;

/** Another VM that may give copies. Confined to the event loop. */
@FunctionalInterface
public interface CopySource {

    /**
     * The result of a call. Implementations are immutable and thread-safe.
     *
     * @param <T> the type that objects decode to
     */
    sealed interface Result<T> {}

    /**
     * The VM responded with a list.
     *
     * @param <T> the type that objects decode to
     * @param page the list
     * @param age the time since the store responded about the kind; empty if the VM relayed the
     *     store's own response
     */
    record Given<T>(Page<T> page, Optional<Duration> age) implements Result<T> {}

    /**
     * The VM gave no copy, or could not be reached.
     *
     * @param <T> the type that objects would decode to
     * @param detail the cause, for the log
     */
    record Refused<T>(String detail) implements Result<T> {}

    /**
     * The VM responded with something else than a list.
     *
     * @param <T> the type that objects would decode to
     * @param problem the cause, for the log
     */
    record Malformed<T>(String problem) implements Result<T> {}

    /**
     * Asks for a copy.
     *
     * @param <T> the type that objects decode to
     * @param kind the kind
     * @param callback receives exactly one result
     */
    <T> void copy(StoreKind<T> kind, Consumer<Result<T>> callback);
}
