package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.permit.PermitDecision;

/**
 * The reply to a request for a permit to send to a backend server. Implementations are immutable.
 */
public sealed interface Permit {

    /**
     * No permit; the request may be sent without one, since it needs none or no reply arrived in
     * time.
     */
    Permit NONE = new None();

    /** Returns a permit to the VM that issued it. */
    @FunctionalInterface
    interface GiveBack {

        /**
         * Returns the permit.
         *
         * @param atServer how long the request was at the backend server, waiting or running; empty
         *     if it got no complete response
         */
        void run(Optional<Duration> atServer);
    }

    /**
     * Returns the reply that follows from a decision.
     *
     * @param decision the decision
     * @param replyTime how long the reply took
     * @param giveBack returns the permit if it was issued
     * @return the reply
     */
    static Permit of(
            final PermitDecision decision, final Duration replyTime, final GiveBack giveBack) {
        return decision.issued()
                ? new Granted(decision, replyTime, giveBack)
                : new Denied(decision);
    }

    /** Returns the name in logs and metrics. */
    String name();

    /** Returns the decision, empty if there is none. */
    default Optional<PermitDecision> basis() {
        return Optional.empty();
    }

    /**
     * The request may be sent.
     *
     * @param decision the decision
     * @param replyTime how long the reply took
     * @param giveBack to be run once, when the request has ended at the backend server
     */
    record Granted(PermitDecision decision, Duration replyTime, GiveBack giveBack)
            implements Permit {

        public Granted {
            Objects.requireNonNull(decision, "decision is null");
            Objects.requireNonNull(replyTime, "replyTime is null");
            Objects.requireNonNull(giveBack, "giveBack is null");
        }

        /**
         * Returns how long the request was at the backend server. Of the time until this VM handled
         * the response, the share of its own delay is estimated from the reply to the permit, which
         * both VMs handled with such a delay.
         *
         * @param total the time from writing the request to handling the end of the response
         */
        Duration atServer(final Duration total) {
            final Duration ownDelay = replyTime.dividedBy(2);
            return total.compareTo(ownDelay) < 0 ? Duration.ZERO : total.minus(ownDelay);
        }

        @Override
        public String name() {
            return "granted";
        }

        @Override
        public Optional<PermitDecision> basis() {
            return Optional.of(decision);
        }
    }

    /**
     * The backend server has as many requests as can be in time.
     *
     * @param decision the decision
     */
    record Denied(PermitDecision decision) implements Permit {

        public Denied {
            Objects.requireNonNull(decision, "decision is null");
        }

        @Override
        public String name() {
            return "denied";
        }

        @Override
        public Optional<PermitDecision> basis() {
            return Optional.of(decision);
        }
    }

    /** See {@link #NONE}. */
    record None() implements Permit {

        @Override
        public String name() {
            return "none";
        }
    }
}
