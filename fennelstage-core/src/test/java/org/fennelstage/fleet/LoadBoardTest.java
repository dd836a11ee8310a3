package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.Test;

class LoadBoardTest {

    private static final BackendServerId A = BackendServerId.of("a");
    private static final BackendServerId B = BackendServerId.of("b");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private double scale = 1;
    private final LoadBoard board = LoadBoard.of(now::get, () -> scale);

    private void report(final String vm, final Map<BackendServerId, Load> loads) {
        board.onReport(VmId.of(vm), loads);
    }

    @Test
    void latestReportOfEachVmCounts() {
        report("vm-1", Map.of(A, new Load(2, 100)));
        report("vm-2", Map.of(A, new Load(1, 50), B, new Load(4, 10)));
        assertThat(board.others(A)).isEqualTo(new Load(3, 150));
        report("vm-2", Map.of(B, new Load(5, 0)));
        assertThat(board.others(A)).isEqualTo(new Load(2, 100));
        assertThat(board.others(B)).isEqualTo(new Load(5, 0));
    }

    /** Guards against counting the load of a crashed VM forever. */
    @Test
    void reportOfAVmThatStopsReportingExpires() {
        report("vm-1", Map.of(A, new Load(2, 100)));
        now.addAndGet(1_000);
        report("vm-2", Map.of(A, new Load(1, 7)));
        now.addAndGet(300);
        assertThat(board.others(A)).isEqualTo(new Load(1, 7));
        now.addAndGet(1_300);
        assertThat(board.others(A)).isEqualTo(Load.NONE);
    }

    @Test
    void loadIsScaledUpForVmsThatDoNotReport() {
        scale = 3;
        report("vm-1", Map.of(A, new Load(2, 100)));
        assertThat(board.others(A)).isEqualTo(new Load(6, 300));
    }
}
