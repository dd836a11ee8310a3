package org.fennelstage.startup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CopyRequestsTest {

    private static final List<String> LISTED = List.of("a", "b");

    private final CopyRequests<String> requests = new CopyRequests<>(bound -> bound - 1);

    @Test
    void oneVmIsAskedAtATimeAndTheOneThatGivesIsAskedAgain() {
        assertThat(requests.next(LISTED, 0)).contains("a");
        assertThat(requests.next(LISTED, 0)).isEmpty();
        requests.onGiven("a");
        assertThat(requests.next(LISTED, 1)).contains("a");
    }

    /** Guards against waiting for a VM that stopped midway. */
    @Test
    void theNextVmIsAskedAfterAFailure() {
        requests.next(LISTED, 0);
        requests.onGiven("a");
        requests.next(LISTED, 1);
        requests.onFailed("a");
        assertThat(requests.next(LISTED, 200)).isEmpty();
        assertThat(requests.next(LISTED, 201)).contains("b");
    }

    /** Guards against asking VMs that refuse without pause while all VMs start. */
    @Test
    void roundsAreSeparatedByAPause() {
        requests.next(LISTED, 0);
        requests.onFailed("a");
        requests.next(LISTED, 200);
        requests.onFailed("b");
        assertThat(requests.next(LISTED, 400)).isEmpty();
        assertThat(requests.next(LISTED, 998)).isEmpty();
        assertThat(requests.next(LISTED, 999)).contains("a");
    }

    /** Guards against asking nobody because the list of VMs cannot be read either. */
    @Test
    void sendersOfMessagesAreAskedAfterListedVmsUpToALimit() {
        assertThat(requests.next(List.of(), 0)).isEmpty();
        IntStream.range(0, 40).forEach(i -> requests.onSender("s" + i));
        int asked = 0;
        long now = 0;
        for (var vm = requests.next(LISTED, now); vm.isPresent(); vm = requests.next(LISTED, now)) {
            assertThat(vm).contains(asked < 2 ? LISTED.get(asked) : "s" + (asked - 2));
            requests.onFailed(vm.get());
            asked++;
            now += CopyRequests.MIN_INTERVAL_MILLIS;
        }
        assertThat(asked).isEqualTo(2 + CopyRequests.MAX_SENDERS);
    }
}
