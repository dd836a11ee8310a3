package org.fennelstage.crash;

import static org.assertj.core.api.Assertions.assertThat;

import org.fennelstage.crash.CrashingPartSimulation.Outcome;
import org.fennelstage.crash.CrashingPartSimulation.Setup;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a part of prompts that crashes one backend server after another. */
class CrashingPartSimulationTest {

    /** Sound requests per second and backend server. */
    private static final double SOUND_PER_SERVER = 7;

    /** Attempts that may reach backend servers once the part has to be known. */
    private static final int MAX_LATE_ATTEMPTS = 3;

    /**
     * Sound requests with the same first part start at the first attempt at least half as often.
     */
    private static final double MIN_FIRST_TRY = 0.5;

    @ParameterizedTest(name = "{0} VMs, {2}/s with the part at position {3}, other crashes {4}/s")
    @CsvSource({
        "9, 16, 1.5, 1, 0, 20",
        "9, 16, 1.5, 0, 0, 20",
        "9, 16, 0.3, 1, 0, 20",
        "9, 16, 0.3, 0, 0, 20",
        "9, 16, 1.5, 1, 1, 20",
        "9, 16, 6, 1, 0, 20",
        "90, 60, 1.5, 1, 0, 2",
        "90, 60, 1.5, 0, 0, 2",
        "90, 60, 0.3, 1, 0, 2",
        "90, 60, 1.5, 1, 2, 2",
    })
    void aCrashingPartIsRejectedWhileSoundRequestsWithTheSameFirstPartAreServed(
            final int vms,
            final int servers,
            final double crashingPerSecond,
            final int position,
            final double otherCrashesPerSecond,
            final int seeds) {
        check(setup(vms, servers, crashingPerSecond, 1, position, otherCrashesPerSecond), seeds);
    }

    /** Guards against evidence on one part that is taken for evidence on another. */
    @ParameterizedTest(name = "{0} VMs, {2}/s with each part at position {3}")
    @CsvSource({"90, 60, 0.7, 1, 2", "90, 60, 0.7, 0, 2"})
    void severalCrashingPartsAtOnceAreRejected(
            final int vms,
            final int servers,
            final double crashingPerSecond,
            final int position,
            final int seeds) {
        check(setup(vms, servers, crashingPerSecond, 3, position, 0), seeds);
    }

    /** Guards against evidence that is ambiguous while most servers are down. */
    @Tag("known-red")
    @ParameterizedTest(name = "{0} VMs, {2}/s with each part at position {3}")
    @CsvSource({"9, 16, 1.5, 1, 20", "9, 16, 1.5, 0, 20", "9, 16, 0.7, 1, 20", "9, 16, 0.7, 0, 20"})
    void severalCrashingPartsThatStopMostServersAreRejected(
            final int vms,
            final int servers,
            final double crashingPerSecond,
            final int position,
            final int seeds) {
        check(setup(vms, servers, crashingPerSecond, 3, position, 0), seeds);
    }

    /** Guards against ends of servers that one moment explains and that are counted one by one. */
    @Tag("known-red")
    @ParameterizedTest(name = "{0} VMs, {2} of {1} servers")
    @CsvSource({
        "4, 20, 5, 20",
        "4, 20, 18, 20",
        "17, 20, 5, 20",
        "17, 20, 12, 20",
        "17, 20, 18, 20"
    })
    void nothingIsRejectedWhereServersEndTogetherAndNoRequestCrashesThem(
            final int vms, final int servers, final int outageServers, final int seeds) {
        final Setup outages =
                new Setup(
                        vms, servers, servers * SOUND_PER_SERVER, 0, 0, 0, 0, outageServers, true);
        for (int seed = 0; seed < seeds; seed++) {
            final Outcome outcome = CrashingPartSimulation.run(outages, seed);
            assertThat(outcome.soundCauses()).as("seed %d: %s", seed, outcome).isZero();
        }
    }

    @Test
    void whereOnlyContentsAreRecognisedTheBoundDoesNotHold() {
        final Setup contentsOnly = new Setup(9, 16, 16 * SOUND_PER_SERVER, 1.5, 1, 1, 0, 0, false);
        assertThat(CrashingPartSimulation.run(contentsOnly, 0).lateAttempts())
                .isGreaterThan(MAX_LATE_ATTEMPTS);
    }

    private static Setup setup(
            final int vms,
            final int servers,
            final double crashingPerSecond,
            final int parts,
            final int position,
            final double otherCrashesPerSecond) {
        return new Setup(
                vms,
                servers,
                servers * SOUND_PER_SERVER,
                crashingPerSecond,
                parts,
                position,
                otherCrashesPerSecond,
                0,
                true);
    }

    private static void check(final Setup setup, final int seeds) {
        for (int seed = 0; seed < seeds; seed++) {
            final Outcome outcome = CrashingPartSimulation.run(setup, seed);
            assertThat(outcome.lateAttempts())
                    .as("seed %d: %s", seed, outcome)
                    .isLessThanOrEqualTo(MAX_LATE_ATTEMPTS);
            assertThat(outcome.firstTryLater())
                    .as("seed %d: %s", seed, outcome)
                    .isGreaterThanOrEqualTo(MIN_FIRST_TRY * outcome.firstTryBefore());
        }
    }
}
