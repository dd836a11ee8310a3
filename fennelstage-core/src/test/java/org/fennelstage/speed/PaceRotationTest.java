package org.fennelstage.speed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.Pace;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class PaceRotationTest {

    private static final int SERVERS = 140;

    private final PaceRotation rotation = new PaceRotation();
    private final Map<BackendServerId, Load> sums = new HashMap<>();

    private static BackendServerId id(final int number) {
        return BackendServerId.of("s-" + number);
    }

    private void pace(final int server, final double mean) {
        sums.put(id(server), new Load(3, 40).withPace(new Pace(7, 2, 2 * mean)));
    }

    private Set<BackendServerId> sent() {
        final Map<BackendServerId, Load> next = rotation.next(sums);
        assertThat(next).hasSameSizeAs(sums);
        assertThat(next.values()).allSatisfy(load -> assertThat(load.running()).isEqualTo(3));
        final Set<BackendServerId> withPace = new HashSet<>();
        next.forEach(
                (server, load) -> {
                    if (!load.pace().equals(Pace.NONE)) {
                        withPace.add(server);
                    }
                });
        assertThat(withPace).hasSizeLessThanOrEqualTo(PaceRotation.MAX_PACES);
        return withPace;
    }

    @Test
    void allPacesAreSentInTurn() {
        for (int i = 0; i < SERVERS; i++) {
            pace(i, 0);
        }
        final Set<BackendServerId> all = sent();
        all.addAll(sent());
        all.addAll(sent());
        assertThat(all).hasSize(SERVERS);
    }

    @Test
    void aChangedPaceIsSentAtOnce() {
        allPacesAreSentInTurn();
        for (int i = 0; i < SERVERS; i += 9) {
            pace(i, 0.9);
            assertThat(sent()).contains(id(i));
        }
    }

    /** Guards against servers whose pace varies all the time and hides that of the others. */
    @Test
    void changedPacesDoNotHideTheOthers() {
        allPacesAreSentInTurn();
        final Set<BackendServerId> all = new HashSet<>();
        for (int period = 0; period < 12; period++) {
            for (int i = 0; i < 100; i++) {
                pace(i, period % 2);
            }
            all.addAll(sent());
        }
        assertThat(all).hasSize(SERVERS);
    }
}
