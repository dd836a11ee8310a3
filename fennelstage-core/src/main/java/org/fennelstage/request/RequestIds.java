package org.fennelstage.request;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.VmId;

/**
 * Generates request ids that are unique across VMs and their incarnations. Thread-safe.
 *
 * <p>Bills and claim holders are identified by these ids, so two requests with equal ids would be
 * treated as one.
 */
public final class RequestIds {

    private static final int RADIX = 36;

    private final String prefix;
    private final AtomicLong last = new AtomicLong();

    private RequestIds(final String prefix) {
        this.prefix = prefix;
    }

    /**
     * Returns the generator for one incarnation of a VM.
     *
     * @param vm the VM
     * @param incarnation the start of the VM's process; milliseconds since the epoch
     * @return the generator
     */
    public static RequestIds of(final VmId vm, final long incarnation) {
        Objects.requireNonNull(vm, "vm is null");
        return new RequestIds(vm.value() + "-" + Long.toString(incarnation, RADIX) + "-");
    }

    /**
     * Returns a new id.
     *
     * @return the id
     */
    public RequestId next() {
        return RequestId.of(prefix + Long.toString(last.incrementAndGet(), RADIX));
    }
}
