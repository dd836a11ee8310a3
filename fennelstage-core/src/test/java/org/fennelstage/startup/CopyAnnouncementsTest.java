package org.fennelstage.startup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class CopyAnnouncementsTest {

    /** Guards against messages while the store can be reached or the VM is not ready. */
    @Test
    void nothingIsAnnouncedByAVmThatMayNotGiveCopies() {
        final CopyAnnouncements announcements = new CopyAnnouncements(bound -> 0);
        for (int now = 0; now < 100_000; now += 100) {
            assertThat(announcements.isDue(false, 5, now)).isFalse();
        }
        assertThat(announcements.isDue(true, 5, 100_000)).isTrue();
        assertThat(announcements.isDue(false, 5, 200_000)).isFalse();
    }

    /**
     * Guards against messages that grow with the square of the VMs, and against a starting VM that
     * receives none: over 20 s, data centres of 2 to 100 VMs, five seeds.
     */
    @Test
    void eachVmReceivesAFewPerSecondWhateverTheSizeOfTheDataCentre() {
        for (int seed = 0; seed < 5; seed++) {
            final Random random = new Random(seed);
            for (final int others : new int[] {1, 4, 27, 99}) {
                final List<CopyAnnouncements> vms = new ArrayList<>();
                for (int i = 0; i < others; i++) {
                    vms.add(new CopyAnnouncements(random::nextLong));
                }
                int received = 0;
                long lastMillis = 0;
                for (long now = 0; now < 20_000; now += 100) {
                    for (final CopyAnnouncements vm : vms) {
                        if (vm.isDue(true, others, now)) {
                            received++;
                            lastMillis = now;
                        }
                    }
                    assertThat(now - lastMillis).isLessThan(2_500);
                }
                assertThat(received).isBetween(25, 120);
            }
        }
    }
}
