package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fennelstage.canary.Canary;
import org.fennelstage.canary.RolloutAge;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/**
 * Sends the age of a rollout order to VMs that received it late.
 *
 * <p>All VMs choose versions by the time since the order. A VM that did not receive the order when
 * it was given counts from its late receipt or derives that time from wall clocks, which may differ
 * by seconds between VMs. All VMs of a data centre may receive it late, so the age is sent to those
 * of other data centres as well. Not thread-safe; confined to the event loop.
 */
final class RolloutAges {

    /** Smallest correction that is logged; milliseconds. Less is within the delay of messages. */
    private static final long MIN_LOGGED_CHANGE_MILLIS = 50;

    private final GatewayState state;
    private final Supplier<List<InetSocketAddress>> peers;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;
    private final BroadcastPace pace;

    RolloutAges(
            final GatewayState state,
            final Supplier<List<InetSocketAddress>> peers,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> send,
            final RandomGenerator random) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.pace = new BroadcastPace(state.clock(), () -> peers.get().size(), random);
    }

    /** Sends the age of each running rollout if it is due. Called a few times a second. */
    void sendDue() {
        if (!pace.isDue()) {
            return;
        }
        for (final Canary canary : state.canaries().values()) {
            canary.age().ifPresent(age -> send.accept(new PeerMessage.Rollout(age), peers.get()));
        }
    }

    /** Applies the age that another VM sent. */
    void onAge(final RolloutAge age) {
        final Optional<Canary> canary = Optional.ofNullable(state.canaries().get(age.service()));
        final Duration change = canary.map(c -> c.onAge(age)).orElse(Duration.ZERO);
        if (Math.abs(change.toMillis()) >= MIN_LOGGED_CHANGE_MILLIS) {
            EventLog.write(
                    Event.ROLLOUT_AGE_CORRECTED,
                    "service",
                    age.service(),
                    "target",
                    age.target(),
                    "revision",
                    age.position(),
                    "elapsed_ms",
                    age.millis(),
                    "change_ms",
                    change.toMillis());
        }
    }
}
