package org.fennelstage.store;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.crash.QuarantineEntry;
import org.fennelstage.history.Position;

/**
 * The external object store with the shared state. Each call passes exactly one result to its
 * callback, on the event loop of the code that made it; failures of the store are results, not
 * exceptions.
 *
 * <p>Implementations are confined to one event loop.
 */
public interface Store {

    /**
     * Lists the current objects of a kind.
     *
     * @param <T> the type that objects decode to
     * @param kind the kind
     * @param after the name after which the list continues, empty for the first page
     * @param callback receives a page of the list
     */
    <T> void list(
            StoreKind<T> kind, Optional<String> after, Consumer<StoreResult<Page<T>>> callback);

    /**
     * Lists the objects of a kind, possibly some seconds out of date. Costs less than {@link
     * #list}.
     *
     * @param <T> the type that objects decode to
     * @param kind the kind
     * @param callback receives the first page of the list
     */
    <T> void listStale(StoreKind<T> kind, Consumer<StoreResult<Page<T>>> callback);

    /**
     * Waits for changes to objects of a kind (long poll).
     *
     * @param <T> the type that objects decode to
     * @param kind the kind
     * @param since the position after which changes are returned
     * @param wait the longest wait
     * @param callback receives the changes; none if the wait elapsed without a change
     */
    <T> void watch(
            StoreKind<T> kind,
            Position since,
            Duration wait,
            Consumer<StoreResult<Page<T>>> callback);

    /**
     * Writes the phase of a rollout, if the rollout order's object is unchanged (conditional
     * write).
     *
     * @param order the rollout order as known to this VM
     * @param phase the new phase
     * @param begunAt the wall-clock time at which the rollout started
     * @param callback receives the result
     */
    void writePhase(
            RolloutOrder order,
            RolloutPhase phase,
            Instant begunAt,
            Consumer<StoreResult<Void>> callback);

    /**
     * Creates or replaces the entry of a VM.
     *
     * @param entry the entry
     * @param callback receives the result
     */
    void writeVm(VmEntry entry, Consumer<StoreResult<Void>> callback);

    /**
     * Creates an entry of the quarantine.
     *
     * @param entry the entry
     * @param callback receives the result; a conflict if the entry exists
     */
    void writeQuarantine(QuarantineEntry entry, Consumer<StoreResult<Void>> callback);

    /**
     * Deletes an entry of the quarantine.
     *
     * @param entry the entry
     * @param callback receives the result; a conflict if the entry is already deleted
     */
    void deleteQuarantine(QuarantineEntry entry, Consumer<StoreResult<Void>> callback);
}
