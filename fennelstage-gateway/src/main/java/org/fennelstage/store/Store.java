package org.fennelstage.store;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.history.Position;

/**
 * The store. Each call ends with exactly one answer, on the caller's event loop; no call throws for
 * what the store does.
 *
 * <p>Implementations are confined to one event loop.
 */
public interface Store {

    /**
     * Lists the objects of a kind as they are now.
     *
     * @param <T> what an object decodes to
     * @param kind the kind
     * @param after the name after which the list goes on, empty for its begin
     * @param answer takes the part of the list
     */
    <T> void list(StoreKind<T> kind, Optional<String> after, Consumer<StoreResult<Page<T>>> answer);

    /**
     * Lists the objects of a kind as they were some seconds ago, at a fraction of the price.
     *
     * @param <T> what an object decodes to
     * @param kind the kind
     * @param answer takes the first part of the list
     */
    <T> void listStale(StoreKind<T> kind, Consumer<StoreResult<Page<T>>> answer);

    /**
     * Waits for changes of a kind.
     *
     * @param <T> what an object decodes to
     * @param kind the kind
     * @param since the position after which changes count
     * @param wait the longest wait
     * @param answer takes the changes; none if the wait passed without one
     */
    <T> void watch(
            StoreKind<T> kind,
            Position since,
            Duration wait,
            Consumer<StoreResult<Page<T>>> answer);

    /**
     * Writes how far a roll-out has come, if its object is unchanged.
     *
     * @param order the order as this VM knows it
     * @param phase the new phase
     * @param begunAt the time of day at which the roll-out began
     * @param answer takes the end
     */
    void writePhase(
            RolloutOrder order,
            RolloutPhase phase,
            Instant begunAt,
            Consumer<StoreResult<Void>> answer);

    /**
     * Enters a VM, or replaces its entry.
     *
     * @param entry the entry
     * @param answer takes the end
     */
    void writeVm(VmEntry entry, Consumer<StoreResult<Void>> answer);

    /**
     * Notes that a request is refused, for VMs that start later.
     *
     * @param content the request
     * @param answer takes the end; a conflict if it is noted already
     */
    void writeQuarantine(Fingerprint content, Consumer<StoreResult<Void>> answer);

    /**
     * Notes that a request is refused no longer.
     *
     * @param content the request
     * @param answer takes the end; a conflict if that is noted already
     */
    void deleteQuarantine(Fingerprint content, Consumer<StoreResult<Void>> answer);
}
