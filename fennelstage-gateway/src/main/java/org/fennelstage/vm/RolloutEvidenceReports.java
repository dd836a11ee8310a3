package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fennelstage.canary.Canary;
import org.fennelstage.canary.RolloutEvidence;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.id.ServiceName;

/**
 * Exchanges between VMs what each has seen of the new version of a rollout.
 *
 * <p>A VM sends its totals since the order again and again while the rollout runs: a lost message
 * only delays them, and a VM that starts late receives them too. After a bad response it does not
 * wait for its turn, which takes seconds in a large fleet.
 *
 * <p>Invariant: the messages that a VM sends out of turn do not exceed its bad responses. Not
 * thread-safe; confined to the event loop.
 */
final class RolloutEvidenceReports {

    /** Upper bound of the number that identifies this process. */
    private static final long MAX_SOURCE = 1L << 50;

    /** Least time between two messages of this VM out of turn; milliseconds. */
    private static final long MIN_INTERVAL_MILLIS = 500;

    /** What was last sent of a service. */
    private record Sent(int badSeen, long atMillis) {}

    private final GatewayState state;
    private final Supplier<List<InetSocketAddress>> peers;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;
    private final BroadcastPace pace;
    private final long source;
    private final Map<ServiceName, Sent> sent = new HashMap<>();

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

    /** Sends the evidence of each running rollout if it is due. Called several times a second. */
    void sendDue() {
        final boolean inTurn = pace.isDue();
        state.canaries()
                .forEach(
                        (service, canary) -> {
                            if (inTurn || isUrgent(service, canary)) {
                                send(service, canary);
                            }
                        });
    }

    private boolean isUrgent(final ServiceName service, final Canary canary) {
        final Sent last = sent.get(service);
        if (last == null) {
            return canary.badSeenHere() > 0;
        }
        return canary.badSeenHere() != last.badSeen()
                && state.clock().millis() - last.atMillis() >= MIN_INTERVAL_MILLIS;
    }

    private void send(final ServiceName service, final Canary canary) {
        final Optional<RolloutEvidence> evidence = canary.evidenceToSend(source);
        if (evidence.isPresent()) {
            send.accept(new EvidenceMessage(evidence.get()), peers.get());
            sent.put(service, new Sent(canary.badSeenHere(), state.clock().millis()));
        }
    }

    /** Applies the evidence that another VM sent. */
    void onEvidence(final RolloutEvidence evidence) {
        Optional.ofNullable(state.canaries().get(evidence.service()))
                .ifPresent(canary -> canary.onEvidence(evidence));
    }
}
