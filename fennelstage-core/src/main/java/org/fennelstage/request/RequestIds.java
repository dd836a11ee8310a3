package org.fennelstage.request;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.VmId;

/**
 * Makes request ids that no other VM and no other incarnation of this VM makes. Thread-safe.
 *
 * <p>Bills and claims are keyed by them, so two requests with one id would be billed as one.
 */
public final class RequestIds {

    private static final int RADIX = 36;

    private final String prefix;
    private final AtomicLong last = new AtomicLong();

    private RequestIds(final String prefix) {
        this.prefix = prefix;
    }

    /**
     * Returns the ids of one incarnation of a VM.
     *
     * @param vm the VM
     * @param incarnation its start in milliseconds since the epoch
     * @return the ids
     */
    public static RequestIds of(final VmId vm, final long incarnation) {
        Objects.requireNonNull(vm, "vm is null");
        return new RequestIds(vm.value() + "-" + Long.toString(incarnation, RADIX) + "-");
    }

    /**
     * Makes the next id.
     *
     * @return the id
     */
    public RequestId next() {
        return RequestId.of(prefix + Long.toString(last.incrementAndGet(), RADIX));
    }
}
