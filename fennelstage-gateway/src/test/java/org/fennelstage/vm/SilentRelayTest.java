package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.id.DataCentreId;
import org.junit.jupiter.api.Test;

/** The VM through which a data centre calls the store falls silent as the store changes. */
class SilentRelayTest {

    private static final int DATA_CENTRES = 3;
    private static final int VMS_EACH = 6;
    private static final DataCentreId AFFECTED = DataCentreId.of("dc-1");
    private static final DataCentreId EVACUATED = DataCentreId.of("dc-2");

    /** A third of the propagation delay is left to slow VMs and links. */
    private static final long LIMIT_MILLIS =
            SimulatedFleet.MAX_PROPAGATION_DELAY.toMillis() * 2 / 3;

    /** Shorter than the time that a regular response may take after a report. */
    private static final long SLOW_MILLIS = 400;

    /** Kinds that are listed again after a relay failed. */
    private static final int KINDS = 4;

    private static final long OBSERVED_MILLIS = 5_000;

    /** Longer than a watch on the configuration through a relay. */
    private static final long OFFSETS_MILLIS = 1_800;

    private static final long OFFSET_STEP_MILLIS = 150;

    /** Returns the longest time until all running VMs apply a change; milliseconds. */
    private static long longestDelay(
            final Consumer<SimulatedFleet> change, final Predicate<GatewayState> applied) {
        return longestDelay(1, change, applied);
    }

    private static long longestDelay(
            final int silentRelays,
            final Consumer<SimulatedFleet> change,
            final Predicate<GatewayState> applied) {
        long longest = 0;
        for (long offset = 0; offset < OFFSETS_MILLIS; offset += OFFSET_STEP_MILLIS) {
            final SimulatedFleet fleet = new SimulatedFleet(DATA_CENTRES, VMS_EACH, offset);
            fleet.run(offset);
            fleet.relays(AFFECTED).subList(0, silentRelays).forEach(SimulatedFleet.Vm::silence);
            change.accept(fleet);
            final long delay =
                    fleet.runUntil(
                            () ->
                                    fleet.vms().stream()
                                            .filter(vm -> !vm.isSilent())
                                            .allMatch(vm -> applied.test(vm.state())),
                            OBSERVED_MILLIS);
            longest = Math.max(longest, delay);
        }
        return longest;
    }

    /** Guards against keys that are still accepted after they were removed. */
    @Test
    void configurationIsAppliedInTimeWhenTheRelayFallsSilent() {
        assertThat(
                        longestDelay(
                                fleet -> fleet.configure(2),
                                state -> state.configuration().orElseThrow().version() == 2))
                .isLessThanOrEqualTo(LIMIT_MILLIS);
    }

    /** Guards against requests to a data centre that is about to be switched off. */
    @Test
    void evacuationIsAppliedInTimeWhenTheRelayFallsSilent() {
        assertThat(
                        longestDelay(
                                fleet -> fleet.evacuate(EVACUATED),
                                state -> state.evacuations().includes(EVACUATED)))
                .isLessThanOrEqualTo(LIMIT_MILLIS);
    }

    /** Guards against requests to a backend server that is about to stop. */
    @Test
    void drainingServerIsLeftOutInTimeWhenTheRelayFallsSilent() {
        assertThat(
                        longestDelay(
                                fleet -> fleet.register(SimulatedFleet.SERVER, true),
                                state -> state.servers().usable(SimulatedFleet.SERVICE).isEmpty()))
                .isLessThanOrEqualTo(LIMIT_MILLIS);
    }

    /** Guards against VMs that choose versions by the time of a late receipt. */
    @Test
    void rolloutOrderIsAppliedInTimeWhenTheRelayFallsSilent() {
        assertThat(
                        longestDelay(
                                fleet -> fleet.order("v2", Duration.ofSeconds(20)),
                                state -> state.canary(SimulatedFleet.SERVICE).order().isPresent()))
                .isLessThanOrEqualTo(LIMIT_MILLIS);
    }

    /** Guards against a time-out at each of several VMs that a cut separates from the others. */
    @Test
    void configurationIsAppliedInTimeWhenTwoRelaysFallSilent() {
        assertThat(
                        longestDelay(
                                2,
                                fleet -> fleet.configure(2),
                                state -> state.configuration().orElseThrow().version() == 2))
                .isLessThanOrEqualTo(LIMIT_MILLIS);
    }

    /** Guards against a call by every VM for each change. */
    @Test
    void changesCauseNoListsWhenARelayIsSlow() {
        final SimulatedFleet fleet = new SimulatedFleet(DATA_CENTRES, VMS_EACH, 7);
        final int before = fleet.store().lists();
        for (int version = 2; version < 42; version++) {
            fleet.configure(version);
            fleet.relay(AFFECTED).suspend(SLOW_MILLIS);
            fleet.run(2 * SLOW_MILLIS);
        }
        assertThat(fleet.store().lists()).isEqualTo(before);
    }

    /** Guards against reports that multiply the calls that a silent relay causes. */
    @Test
    void silentRelayCausesAtMostOneMoreListOfEachVmThanOfEachKind() {
        final SimulatedFleet fleet = new SimulatedFleet(DATA_CENTRES, VMS_EACH, 7);
        final int before = fleet.store().lists();
        fleet.relay(AFFECTED).silence();
        fleet.configure(2);
        fleet.run(OBSERVED_MILLIS);
        assertThat(fleet.store().lists() - before)
                .isLessThanOrEqualTo((VMS_EACH - 1) * (KINDS + 1));
    }

    @Test
    void changesAreAppliedSoonWhenNoVmIsSilent() {
        final SimulatedFleet fleet = new SimulatedFleet(DATA_CENTRES, VMS_EACH, 7);
        fleet.configure(2);
        fleet.evacuate(EVACUATED);
        fleet.run(200);
        assertThat(fleet.vms())
                .allMatch(vm -> vm.state().configuration().orElseThrow().version() == 2)
                .allMatch(vm -> vm.state().evacuations().includes(EVACUATED));
    }
}
