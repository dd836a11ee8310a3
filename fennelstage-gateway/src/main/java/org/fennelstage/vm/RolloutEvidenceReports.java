package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fennelstage.canary.Canary;
import org.fennelstage.canary.RolloutEvidence;
import org.fennelstage.gateway.GatewayState;

/**
 * Exchanges between VMs what each has seen of the new version of a rollout.
 *
 * <p>A VM sends its totals since the order again and again while the rollout runs: a lost message
 * only delays them, and a VM that starts late receives them too. Not thread-safe; confined to the
 * event loop.
 */
final class RolloutEvidenceReports {

    /** Upper bound of the number that identifies this process. */
    private static final long MAX_SOURCE = 1L << 50;

    private final GatewayState state;
    private final Supplier<List<InetSocketAddress>> peers;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;
    private final BroadcastPace pace;
    private final long source;

    RolloutEvidenceReports(
            final GatewayState state,
            final Supplier<List<InetSocketAddress>> peers,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> send,
            final RandomGenerator random) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.pace = new BroadcastPace(state.clock(), () -> peers.get().size(), random);
        this.source = random.nextLong(MAX_SOURCE);
    }

    /** Sends the evidence of each running rollout if it is due. Called a few times a second. */
    void sendDue() {
        if (pace.isDue()) {
            for (final Canary canary : state.canaries().values()) {
                canary.evidenceToSend(source)
                        .ifPresent(e -> send.accept(new EvidenceMessage(e), peers.get()));
            }
        }
    }

    /** Applies the evidence that another VM sent. */
    void onEvidence(final RolloutEvidence evidence) {
        Optional.ofNullable(state.canaries().get(evidence.service()))
                .ifPresent(canary -> canary.onEvidence(evidence));
    }
}
