package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.gateway.GatewaySettings;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.fennelstage.policy.Policy;

/**
 * Identity and addresses of a VM, and its deployment's bounds. Immutable and thread-safe.
 *
 * @param vm its id
 * @param dataCentre its data centre
 * @param callers address of the listener for callers
 * @param readiness address of the listener for the load balancer's health checks
 * @param readinessPath path of the health check
 * @param metrics address of the metrics listener, empty for none
 * @param peers address of the listener for other VMs
 * @param store address of the store
 * @param linkMegabits bandwidth of the VM's own link; megabits a second
 * @param evacuations whether operators may evacuate data centres
 * @param bounds the deployment's bounds
 * @param policy the mechanisms in use
 */
public record VmSettings(
        VmId vm,
        DataCentreId dataCentre,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        String readinessPath,
        Optional<InetSocketAddress> metrics,
        InetSocketAddress peers,
        InetSocketAddress store,
        double linkMegabits,
        boolean evacuations,
        GatewaySettings bounds,
        Policy policy) {

    public VmSettings {
        Objects.requireNonNull(vm, "vm is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(callers, "callers is null");
        Objects.requireNonNull(readiness, "readiness is null");
        Objects.requireNonNull(readinessPath, "readinessPath is null");
        Objects.requireNonNull(metrics, "metrics is null");
        Objects.requireNonNull(peers, "peers is null");
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(bounds, "bounds is null");
        Objects.requireNonNull(policy, "policy is null");
    }

    /**
     * Returns these settings with other bounds.
     *
     * @param newer the bounds
     * @return the settings
     */
    public VmSettings withBounds(final GatewaySettings newer) {
        return with(newer, policy);
    }

    /**
     * Returns these settings with another policy.
     *
     * @param newer the policy
     * @return the settings
     */
    public VmSettings withPolicy(final Policy newer) {
        return with(bounds, newer);
    }

    private VmSettings with(final GatewaySettings newBounds, final Policy newPolicy) {
        return new VmSettings(
                vm,
                dataCentre,
                callers,
                readiness,
                readinessPath,
                metrics,
                peers,
                store,
                linkMegabits,
                evacuations,
                newBounds,
                newPolicy);
    }
}
