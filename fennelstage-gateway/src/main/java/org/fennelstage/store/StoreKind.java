package org.fennelstage.store;

import java.util.Objects;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.crash.QuarantineEntry;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.serving.ServingConfiguration;

/**
 * A kind of objects in the store. Immutable and thread-safe.
 *
 * @param <T> the type that objects of the kind decode to
 */
public final class StoreKind<T> {

    /** The serving configuration; a single object. */
    public static final StoreKind<ServingConfiguration> CONFIGURATION =
            new StoreKind<>("configuration");

    /** The entries of backend servers. */
    public static final StoreKind<ServerEntry> SERVERS = new StoreKind<>("servers");

    /** The operators' rollout orders. */
    public static final StoreKind<RolloutOrder> ROLLOUTS = new StoreKind<>("rollouts");

    /** The data centres that operators have evacuated. */
    public static final StoreKind<DataCentreId> EVACUATIONS = new StoreKind<>("evacuations");

    /** The entries of VMs. */
    public static final StoreKind<VmEntry> VMS = new StoreKind<>("vms");

    /** Quarantined contents and parts of prompts, which crash backend servers, and their trials. */
    public static final StoreKind<QuarantineEntry> QUARANTINE = new StoreKind<>("quarantine");

    private final String name;

    private StoreKind(final String name) {
        this.name = Objects.requireNonNull(name, "name is null");
    }

    @Override
    public String toString() {
        return name;
    }
}
