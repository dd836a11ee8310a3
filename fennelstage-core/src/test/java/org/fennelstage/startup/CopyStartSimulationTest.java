package org.fennelstage.startup;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * A data centre of 20 VMs is cut off from the store for 6 s; five of its VMs restart at its
 * beginning. Of the others about half are ready, some hang, some are restarting too.
 */
class CopyStartSimulationTest {

    private static final int SEEDS = 5;
    private static final int PARTITION_MILLIS = 6_000;
    private static final int TICK_MILLIS = 100;

    /** From the start of the process until the first list has failed. */
    private static final int FIRST_FAILURE_MILLIS = 1_500;

    private static final int KINDS = 5;
    private static final int CALLERS_PER_VM = 300;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int FIXED_RETRY_MILLIS = 500;

    /** Another VM, and how long it takes to respond. */
    private enum Peer {
        READY(60, true),
        STARTING(20, false),
        HANGS(300, false),
        /** Gives two kinds and stops. */
        STOPS_MIDWAY(300, true);

        private final int millis;
        private final boolean gives;

        Peer(final int millis, final boolean gives) {
            this.millis = millis;
            this.gives = gives;
        }
    }

    private static List<Peer> peers(final Random random) {
        final List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < 19; i++) {
            final boolean ready = random.nextBoolean();
            final int other = 1 + random.nextInt(Peer.values().length - 1);
            peers.add(ready ? Peer.READY : Peer.values()[other]);
        }
        return peers;
    }

    private static boolean gives(final Peer peer, final int kinds) {
        final CopyTerms.Answer answer =
                CopyTerms.answer(peer.gives, OptionalLong.of(-2_500), 0, false);
        return answer == CopyTerms.Answer.GIVEN && (peer != Peer.STOPS_MIDWAY || kinds < 2);
    }

    /** Returns when a VM has all kinds; milliseconds. */
    private static int readyMillis(final List<Peer> peers, final Random random) {
        final CopyRequests<Integer> requests = new CopyRequests<>(random::nextLong);
        for (int i = 0; i < peers.size(); i++) {
            if (random.nextInt(3) > 0) {
                requests.onSender(i);
            }
        }
        int kinds = 0;
        int now = FIRST_FAILURE_MILLIS;
        while (now < PARTITION_MILLIS) {
            final var asked = requests.next(List.of(), now);
            if (asked.isEmpty()) {
                now += TICK_MILLIS;
                continue;
            }
            final Peer peer = peers.get(asked.get());
            now += peer.millis;
            if (gives(peer, kinds)) {
                requests.onGiven(asked.get());
                kinds++;
                if (kinds == KINDS) {
                    return now;
                }
            } else {
                requests.onFailed(asked.get());
                now += TICK_MILLIS / 2;
            }
        }
        return PARTITION_MILLIS;
    }

    /** Counts the callers that return in time after a VM is ready. */
    private static int served(final int readyMillis, final boolean copies, final Random random) {
        int served = 0;
        for (int caller = 0; caller < CALLERS_PER_VM; caller++) {
            final int arrival = random.nextInt(PARTITION_MILLIS);
            long at = arrival;
            while (at < readyMillis && at < arrival + DEADLINE_MILLIS) {
                at +=
                        copies
                                ? StartProgress.retryAfter(
                                                Duration.ofMillis(at), random.nextDouble())
                                        .toMillis()
                                : FIXED_RETRY_MILLIS;
            }
            served += at < arrival + DEADLINE_MILLIS ? 1 : 0;
        }
        return served;
    }

    /**
     * Guards against VMs that respond "not configured" until the end of the partition, though
     * others in their data centre have the data.
     */
    @Test
    void vmsThatStartCutOffServeLongBeforeThePartitionEnds() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final Random random = new Random(seed);
            for (int vm = 0; vm < 5; vm++) {
                final int ready = readyMillis(peers(random), random);
                assertThat(ready).as("seed %s", seed).isLessThan(4_000);
                assertThat(served(ready, true, random))
                        .isGreaterThanOrEqualTo(CALLERS_PER_VM * 95 / 100)
                        .isGreaterThan(served(PARTITION_MILLIS, false, random));
            }
        }
    }
}
