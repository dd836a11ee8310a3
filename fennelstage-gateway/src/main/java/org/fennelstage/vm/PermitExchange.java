package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.gateway.Permit;
import org.fennelstage.gateway.PermitSource;
import org.fennelstage.id.VmId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.permit.PermitDecision;
import org.fennelstage.permit.PermitId;
import org.fennelstage.permit.PermitLedger;
import org.fennelstage.permit.PermitTerms;
import org.fennelstage.time.MonotonicClock;

/**
 * Asks other VMs for permits to send requests to saturated backend servers, and issues those for
 * the backend servers that this VM is responsible for.
 *
 * <p>The loads that VMs report to each other are older than a short request takes, so by them alone
 * the VMs fill the queue of a saturated backend server. Instead one VM counts the requests of all.
 * Each VM determines it without messages: it is the first when the VMs of the backend server's data
 * centre are ranked by a hash, so a cut between data centres separates callers from both or from
 * none. A VM that does not reply is skipped for a while.
 *
 * <p>Invariants: each request for a permit gets exactly one reply; a permit that is granted too
 * late to be used is returned at once. Not thread-safe; confined to the event loop.
 */
final class PermitExchange implements PermitSource {

    /** Unanswered requests in a row after which a VM is skipped; datagrams may be lost. */
    private static final int MAX_UNANSWERED = 3;

    private record Pending(
            VmId issuer, Incarnation server, long sentMillis, Consumer<Permit> listener) {}

    private final VmId own;
    private final Peers peers;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;
    private final BiConsumer<Runnable, Duration> schedule;
    private final MonotonicClock clock;
    private final PermitLedger ledger;
    private final Consumer<PermitDecision> onDecision;
    private final UnresponsiveVms unresponsive;
    private final Map<VmId, Integer> unanswered = new HashMap<>();
    private final Map<PermitId, Pending> pending = new HashMap<>();
    private long lastNumber;

    /**
     * Creates an exchange.
     *
     * @param own this VM
     * @param peers the VMs
     * @param send sends messages to other VMs
     * @param schedule runs an action after a time
     * @param clock the clock
     * @param ledger the permits that this VM has issued
     * @param onDecision is informed of each decision of this VM
     * @param firstNumber the number of the first permit; random, so that permits of this VM are not
     *     taken for those that it asked for before it was restarted
     */
    PermitExchange(
            final VmId own,
            final Peers peers,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> send,
            final BiConsumer<Runnable, Duration> schedule,
            final MonotonicClock clock,
            final PermitLedger ledger,
            final Consumer<PermitDecision> onDecision,
            final long firstNumber) {
        this.own = Objects.requireNonNull(own, "own is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.schedule = Objects.requireNonNull(schedule, "schedule is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.ledger = Objects.requireNonNull(ledger, "ledger is null");
        this.onDecision = Objects.requireNonNull(onDecision, "onDecision is null");
        this.unresponsive = new UnresponsiveVms(clock);
        this.lastNumber = firstNumber - 1;
    }

    @Override
    public void request(
            final ServerEntry server,
            final PermitTerms terms,
            final Duration timeout,
            final Consumer<Permit> listener) {
        final PermitId permit = new PermitId(own, ++lastNumber);
        final Incarnation incarnation = server.incarnation();
        final VmId issuer = issuer(server);
        if (issuer.equals(own)) {
            final PermitDecision decision = issue(incarnation, permit, terms);
            listener.accept(
                    Permit.of(
                            decision,
                            Duration.ZERO,
                            atServer -> ledger.onReturned(incarnation, permit, atServer)));
            return;
        }
        final Optional<InetSocketAddress> address = peers.address(issuer);
        if (address.isEmpty()) {
            listener.accept(Permit.NONE);
            return;
        }
        pending.put(permit, new Pending(issuer, incarnation, clock.millis(), listener));
        schedule.accept(() -> onTimeout(permit), timeout);
        send.accept(new PermitMessage.Request(permit, incarnation, terms), List.of(address.get()));
    }

    /** Returns the VM that counts the requests at a backend server; this one if all are skipped. */
    private VmId issuer(final ServerEntry server) {
        return peers.rankedNear(server.id().value(), server.dataCentre()).stream()
                .filter(vm -> !unresponsive.isSkipped(vm))
                .findFirst()
                .orElse(own);
    }

    private void onTimeout(final PermitId permit) {
        final Pending request = pending.remove(permit);
        if (request == null) {
            return;
        }
        if (unanswered.merge(request.issuer(), 1, Integer::sum) >= MAX_UNANSWERED) {
            unanswered.remove(request.issuer());
            unresponsive.onTimeout(request.issuer());
            EventLog.write(
                    Event.PERMIT_ISSUER_SKIPPED,
                    "vm",
                    request.issuer(),
                    "server",
                    request.server());
        }
        request.listener().accept(Permit.NONE);
    }

    /** Handles a message of another VM. */
    void onMessage(final PermitMessage message) {
        if (message instanceof PermitMessage.Request request) {
            onRequest(request);
        } else if (message instanceof PermitMessage.Reply reply) {
            onReply(reply);
        } else if (message instanceof PermitMessage.Return returned) {
            ledger.onReturned(returned.server(), returned.permit(), returned.atServer());
        }
    }

    private void onRequest(final PermitMessage.Request request) {
        final PermitDecision decision = issue(request.server(), request.permit(), request.terms());

        sendTo(
                request.permit().holder(),
                new PermitMessage.Reply(request.permit(), request.server(), own, decision));
    }

    private PermitDecision issue(
            final Incarnation server, final PermitId permit, final PermitTerms terms) {
        final PermitDecision decision = ledger.issue(server, permit, terms);
        onDecision.accept(decision);
        return decision;
    }

    private void onReply(final PermitMessage.Reply reply) {
        final Pending request = pending.remove(reply.permit());
        final Permit.GiveBack giveBack =
                atServer ->
                        sendTo(
                                reply.issuer(),
                                new PermitMessage.Return(reply.permit(), reply.server(), atServer));
        if (request != null) {
            unanswered.remove(request.issuer());
            unresponsive.onResponse(request.issuer());
            final Duration replyTime = Duration.ofMillis(clock.millis() - request.sentMillis());
            request.listener().accept(Permit.of(reply.decision(), replyTime, giveBack));
        } else if (reply.decision().issued()) {
            giveBack.run(Optional.empty());
        }
    }

    private void sendTo(final VmId vm, final PeerMessage message) {
        peers.address(vm).ifPresent(address -> send.accept(message, List.of(address)));
    }
}
