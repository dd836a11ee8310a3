package org.fennelstage.gateway;

import org.fennelstage.http.SharedMemory;
import org.fennelstage.limit.ByteBudget;

/**
 * The memory of a VM for bytes of remote ends that are kept until they are whole: of callers,
 * backend servers, other VMs and the store.
 *
 * <p>Invariant: callers' requests and their responses leave a part to the store, without which the
 * VM would not follow changes. Not thread-safe; confined to the event loop.
 */
public final class RemoteMemory {

    /** Part of a VM's heap of 96 MB; a buffer may take twice its content while it grows. */
    private static final long TOTAL_BYTES = 36L << 20;

    private static final long RESPONSE_BYTES = 16L << 20;

    private static final long REQUEST_BYTES = 12L << 20;

    private final ByteBudget whole = ByteBudget.of(TOTAL_BYTES);
    private final ByteBudget responses = whole.part(RESPONSE_BYTES);
    private final ByteBudget requests = whole.part(REQUEST_BYTES);

    /** Returns the memory for responses to callers' requests. */
    ByteBudget responses() {
        return responses;
    }

    /**
     * Returns the memory for responses to the VM's own calls.
     *
     * @return the memory, for clients on the VM's event loop
     */
    public SharedMemory ofOwnCalls() {
        return shared(whole);
    }

    /**
     * Returns the memory for the bodies of requests.
     *
     * @return the memory, for servers on the VM's event loop
     */
    public SharedMemory ofRequests() {
        return shared(requests);
    }

    private static SharedMemory shared(final ByteBudget budget) {
        return new SharedMemory() {
            @Override
            public boolean tryTake(final long bytes) {
                return budget.tryTake(bytes);
            }

            @Override
            public void giveBack(final long bytes) {
                budget.giveBack(bytes);
            }
        };
    }
}
