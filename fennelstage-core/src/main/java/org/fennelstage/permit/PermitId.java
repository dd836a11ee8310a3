package org.fennelstage.permit;

import java.util.Objects;
import org.fennelstage.id.VmId;

/**
 * Identifies a permit. Immutable and thread-safe.
 *
 * @param holder the VM that asks for it or holds it
 * @param number a number that the holder uses once
 */
public record PermitId(VmId holder, long number) {

    public PermitId {
        Objects.requireNonNull(holder, "holder is null");
    }
}
