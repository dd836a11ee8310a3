package org.fennelstage.store;

import java.util.Objects;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.serving.ServingConfiguration;

/**
 * A kind of objects in the store. Immutable and thread-safe.
 *
 * @param <T> what an object of the kind decodes to
 */
public final class StoreKind<T> {

    /** The configuration; one object. */
    public static final StoreKind<ServingConfiguration> CONFIGURATION =
            new StoreKind<>("configuration");

    /** The workers' entries. */
    public static final StoreKind<ServerEntry> SERVERS = new StoreKind<>("servers");

    /** The operator's orders to move a service to a version. */
    public static final StoreKind<RolloutOrder> ROLLOUTS = new StoreKind<>("rollouts");

    /** The operator's orders to empty a data centre. */
    public static final StoreKind<DataCentreId> EVACUATIONS = new StoreKind<>("evacuations");

    /** The VMs of this system. */
    public static final StoreKind<VmEntry> VMS = new StoreKind<>("vms");

    /** Requests that are refused since they end their workers, under their fingerprints. */
    public static final StoreKind<Fingerprint> QUARANTINE = new StoreKind<>("quarantine");

    private final String name;

    private StoreKind(final String name) {
        this.name = Objects.requireNonNull(name, "name is null");
    }

    @Override
    public String toString() {
        return name;
    }
}
