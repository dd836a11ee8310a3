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
import org.fennelstage.gateway.Beliefs;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/**
 * Tells VMs that started in the middle of a roll-out how old its order is.
 *
 * <p>All VMs choose versions by the time since the order. One that did not hear the order being
 * given has only a time of day for it, and those of two VMs may lie seconds apart. Confined to the
 * event loop.
 */
final class RolloutAges {

    /** How often a VM hears the age a few times; milliseconds. One that starts waits as long. */
    private static final long PERIOD_MILLIS = 500;

    /**
     * VMs of which each tells the age once a period; of more, as many do, at random times. Did all
     * tell it that often, a VM of a large data centre would hear more words than it has requests.
     */
    private static final int MOST_TELLERS = 6;

    /** From which change on a correction is logged; milliseconds. Less is the messages' delay. */
    private static final long LOGGED_FROM_MILLIS = 50;

    private final Beliefs beliefs;
    private final Supplier<List<InetSocketAddress>> others;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> tell;
    private final RandomGenerator random;
    private long dueMillis;

    RolloutAges(
            final Beliefs beliefs,
            final Supplier<List<InetSocketAddress>> others,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> tell,
            final RandomGenerator random) {
        this.beliefs = Objects.requireNonNull(beliefs, "beliefs is null");
        this.others = Objects.requireNonNull(others, "others is null");
        this.tell = Objects.requireNonNull(tell, "tell is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.dueMillis = beliefs.clock().millis() + PERIOD_MILLIS;
    }

    /**
     * Tells the age of each running roll-out if it is time to. To be called a few times a second.
     */
    void sendDue() {
        if (beliefs.clock().millis() < dueMillis) {
            return;
        }
        dueMillis = beliefs.clock().millis() + pauseMillis();
        for (final Canary canary : beliefs.canaries().values()) {
            canary.age().ifPresent(age -> tell.accept(new PeerMessage.Rollout(age), others.get()));
        }
    }

    /** Spread, since VMs that start together would tell it together, and then nobody for long. */
    private long pauseMillis() {
        final int tellers = others.get().size() + 1;
        if (tellers <= MOST_TELLERS) {
            return PERIOD_MILLIS;
        }
        final double mean = (double) PERIOD_MILLIS * tellers / MOST_TELLERS;
        return Math.round(mean * 2 * random.nextDouble());
    }

    /** Takes what another VM tells. */
    void onAge(final RolloutAge age) {
        final Optional<Canary> canary = Optional.ofNullable(beliefs.canaries().get(age.service()));
        final Duration change = canary.map(c -> c.onAge(age)).orElse(Duration.ZERO);
        if (Math.abs(change.toMillis()) >= LOGGED_FROM_MILLIS) {
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
