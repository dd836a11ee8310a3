package org.fennelstage.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VersionId;
import org.junit.jupiter.api.Test;

class ServerSelectorTest {

    private final ServerLoads loads = ServerLoads.of(servers(13));

    @Test
    void noChoiceTakesAnExcludedWorker() {
        for (int i = 0; i < loads.size(); i++) {
            loads.set(i, 0, true);
        }
        for (final ServerSelector choice : all()) {
            assertThat(choice.choose(loads, 1)).isEqualTo(ServerSelector.NONE);
        }
        loads.set(4, 100, false);
        for (final ServerSelector choice : all()) {
            assertThat(choice.choose(loads, 1)).isEqualTo(4);
        }
    }

    @Test
    void leastLoadTakesTheIdleWorker() {
        for (int i = 0; i < loads.size(); i++) {
            loads.set(i, i == 7 ? 0 : 3, false);
        }
        assertThat(ServerSelector.leastLoad(new SplittableRandom(1)).choose(loads, 5)).isEqualTo(7);
    }

    @Test
    void boundedAffinitySendsOnePrefixToOneWorkerWhileItIsNotOverloaded() {
        final ServerSelector choice = ServerSelector.boundedAffinity(1.25);
        final int first = choice.choose(loads, 99);
        assertThat(IntStream.range(0, 20).map(i -> choice.choose(loads, 99))).containsOnly(first);
    }

    /** A popular prefix must not queue at its worker while others are idle. */
    @Test
    void boundedAffinityLeavesAnOverloadedWorker() {
        final ServerSelector choice = ServerSelector.boundedAffinity(1.25);
        final int first = choice.choose(loads, 99);
        for (int i = 0; i < loads.size(); i++) {
            loads.set(i, i == first ? 8 : 2, false);
        }
        assertThat(choice.choose(loads, 99)).isNotEqualTo(first);
    }

    @Test
    void firstByAffinityFindsTheHighestInOrderAndLeavesExcludedOnesOut() {
        for (long prefix = 0; prefix < 200; prefix++) {
            final long key = prefix;
            final int[] best = new int[4];
            loads.set(3, 0, true);
            ServerSelector.firstByAffinity(loads, key, best);
            final List<Integer> expected =
                    IntStream.range(0, loads.size())
                            .filter(i -> i != 3)
                            .boxed()
                            .sorted(
                                    (a, b) ->
                                            Long.compare(
                                                    loads.affinity(b, key), loads.affinity(a, key)))
                            .limit(4)
                            .toList();
            assertThat(IntStream.of(best).boxed().toList()).isEqualTo(expected);
        }
    }

    @Test
    void firstByAffinityLeavesPlacesEmptyWhereThereAreFewerWorkers() {
        final int[] best = new int[4];
        ServerSelector.firstByAffinity(ServerLoads.of(servers(2)), 1, best);
        assertThat(best[2]).isEqualTo(ServerSelector.NONE);
        assertThat(best[3]).isEqualTo(ServerSelector.NONE);
    }

    private static List<ServerSelector> all() {
        return List.of(
                ServerSelector.random(new SplittableRandom(1)),
                ServerSelector.leastLoad(new SplittableRandom(1)),
                ServerSelector.boundedAffinity(1.25));
    }

    private static List<BackendServer> servers(final int count) {
        return IntStream.range(0, count)
                .mapToObj(
                        i ->
                                new BackendServer(
                                        BackendServerId.of("w" + i),
                                        DataCentreId.of("dc-0"),
                                        "127.0.0.1",
                                        1 + i,
                                        Set.of(VersionId.of("pero", "v1")),
                                        Optional.empty(),
                                        8,
                                        false))
                .toList();
    }
}
