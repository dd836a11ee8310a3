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
    void noSelectorPicksAnExcludedServer() {
        for (int i = 0; i < loads.size(); i++) {
            loads.set(i, 0, true);
        }
        for (final ServerSelector selector : all()) {
            assertThat(selector.choose(loads, 1)).isEqualTo(ServerSelector.NONE);
        }
        loads.set(4, 100, false);
        for (final ServerSelector selector : all()) {
            assertThat(selector.choose(loads, 1)).isEqualTo(4);
        }
    }

    @Test
    void leastLoadPicksTheIdleServer() {
        for (int i = 0; i < loads.size(); i++) {
            loads.set(i, i == 7 ? 0 : 3, false);
        }
        assertThat(ServerSelector.leastLoad(new SplittableRandom(1)).choose(loads, 5)).isEqualTo(7);
    }

    @Test
    void boundedAffinityKeepsAPrefixAtOneServerBelowTheBound() {
        final ServerSelector selector = ServerSelector.boundedAffinity(1.25);
        final int first = selector.choose(loads, 99);
        assertThat(IntStream.range(0, 20).map(i -> selector.choose(loads, 99))).containsOnly(first);
    }

    /** Guards against a popular prefix that queues at one server while others are idle. */
    @Test
    void boundedAffinitySkipsAnOverloadedServer() {
        final ServerSelector selector = ServerSelector.boundedAffinity(1.25);
        final int first = selector.choose(loads, 99);
        for (int i = 0; i < loads.size(); i++) {
            loads.set(i, i == first ? 8 : 2, false);
        }
        assertThat(selector.choose(loads, 99)).isNotEqualTo(first);
    }

    @Test
    void firstByAffinityFindsTheHighestInOrderWithoutExcludedServers() {
        for (long prefix = 0; prefix < 200; prefix++) {
            final long hash = prefix;
            final int[] best = new int[4];
            loads.set(3, 0, true);
            ServerSelector.firstByAffinity(loads, hash, best);
            final List<Integer> expected =
                    IntStream.range(0, loads.size())
                            .filter(i -> i != 3)
                            .boxed()
                            .sorted(
                                    (a, b) ->
                                            Long.compare(
                                                    loads.affinity(b, hash),
                                                    loads.affinity(a, hash)))
                            .limit(4)
                            .toList();
            assertThat(IntStream.of(best).boxed().toList()).isEqualTo(expected);
        }
    }

    @Test
    void firstByAffinityFillsUnusedPlacesWithNone() {
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
