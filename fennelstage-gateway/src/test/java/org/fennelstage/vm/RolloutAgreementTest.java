package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.LongSummaryStatistics;
import java.util.Optional;
import java.util.stream.IntStream;
import org.fennelstage.canary.Canary;
import org.fennelstage.id.DataCentreId;
import org.junit.jupiter.api.Test;

/**
 * A data centre receives a rollout order later than the others, since the VM that calls the store
 * for it falls silent or is suspended.
 */
class RolloutAgreementTest {

    private static final int DATA_CENTRES = 3;
    private static final int VMS_EACH = 6;
    private static final int SESSIONS = 400;
    private static final DataCentreId AFFECTED = DataCentreId.of("dc-1");
    private static final Duration ROLLOUT = Duration.ofSeconds(20);

    /** Wall clocks of VMs may differ by seconds. */
    private static final Duration CLOCK_ERROR = Duration.ofSeconds(2);

    /** Too short for the other VMs to find the relay silent; milliseconds. */
    private static final long SUSPENDED_MILLIS = 700;

    /** Time after the receipt in which VMs tell each other the age several times; milliseconds. */
    private static final long EXCHANGE_MILLIS = 5_000;

    /** Within the delay of messages; milliseconds. */
    private static final long MAX_DIFFERENCE_MILLIS = 100;

    private static SimulatedFleet afterSilence(final Duration clockError) {
        final SimulatedFleet fleet = new SimulatedFleet(DATA_CENTRES, VMS_EACH, 7);
        fleet.vms().stream()
                .filter(vm -> vm.dataCentre().equals(AFFECTED))
                .forEach(vm -> vm.setClockError(clockError));
        fleet.relay(AFFECTED).silence();
        fleet.order("v2", ROLLOUT);
        return fleet;
    }

    private static Canary canary(final SimulatedFleet.Vm vm) {
        return vm.state().canary(SimulatedFleet.SERVICE);
    }

    private static long differenceOfAges(final SimulatedFleet fleet) {
        final LongSummaryStatistics ages =
                fleet.vms().stream()
                        .filter(vm -> !vm.isSilent())
                        .mapToLong(vm -> canary(vm).elapsed().toMillis())
                        .summaryStatistics();
        return ages.getMax() - ages.getMin();
    }

    /** Guards against sessions that go to the new version at one VM and back at another. */
    @Test
    void vmsOfAllDataCentresAgreeOnTheAgeAfterARelayFellSilent() {
        final SimulatedFleet fleet = afterSilence(CLOCK_ERROR);
        fleet.run(SimulatedFleet.MAX_PROPAGATION_DELAY.toMillis() + EXCHANGE_MILLIS);
        assertThat(differenceOfAges(fleet)).isLessThanOrEqualTo(MAX_DIFFERENCE_MILLIS);
    }

    /** Guards against sessions that go to the new version at one VM and back at another. */
    @Test
    void vmsOfAllDataCentresAgreeOnTheAgeAfterARelayWasSuspended() {
        final SimulatedFleet fleet = new SimulatedFleet(DATA_CENTRES, VMS_EACH, 7);
        fleet.relay(AFFECTED).suspend(SUSPENDED_MILLIS);
        fleet.order("v2", ROLLOUT);
        fleet.run(SimulatedFleet.MAX_PROPAGATION_DELAY.toMillis() + EXCHANGE_MILLIS);
        assertThat(differenceOfAges(fleet)).isLessThanOrEqualTo(MAX_DIFFERENCE_MILLIS);
    }

    /** Guards against a wall clock that is ahead, by which sessions would join too early. */
    @Test
    void noSessionIsMovedInTheFirstHalfAfterARelayFellSilent() {
        final SimulatedFleet fleet = afterSilence(CLOCK_ERROR);
        fleet.run(ROLLOUT.toMillis() / 2);
        assertThat(fleet.vms())
                .filteredOn(vm -> !vm.isSilent())
                .noneMatch(
                        vm ->
                                IntStream.range(0, SESSIONS)
                                        .anyMatch(
                                                i ->
                                                        canary(vm)
                                                                .choose(
                                                                        Optional.of("s-" + i),
                                                                        "r-" + i)
                                                                .toNew()));
    }
}
