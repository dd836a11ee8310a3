package org.fennelstage.canary;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.canary.VersionChoice.Reason;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.member.Rendezvous;
import org.fennelstage.time.MonotonicClock;

/**
 * The versions of one service: which may get requests, and what this VM finds of a new one.
 *
 * <p>Each VM judges by its own requests and halts for itself at once; the halt reaches the others
 * through the object in the store. Invariants: a version that may belong to an order not yet known
 * here gets nothing; a halted version gets nothing, whatever the store says later of the same
 * order. Not thread-safe.
 *
 * <p>A store that comes back from an older copy may have lost how an order ended, or the order. How
 * it ended stays true here, and is due to be written again once the store speaks of the order: a VM
 * that starts afterwards learns from the store alone, and would send requests to a version that was
 * found bad. An older order that the copy speaks of instead changes nothing.
 */
public final class Canary {

    private final MonotonicClock clock;
    private final double allowedShare;
    private final Set<String> proven = new HashSet<>();
    private final Set<String> bad = new HashSet<>();
    private final ToldVersions told;
    private final EndedOrders endedOrders = EndedOrders.empty();
    private Optional<RolloutOrder> order = Optional.empty();
    private CanaryEvidence evidence = new CanaryEvidence();
    private long begunAtMillis;

    /** Whether the begin is known by steady clocks alone, this VM's or others'. */
    private boolean steady;

    /** Where in the store's history this VM first heard of the present order. */
    private Position firstPosition = Position.NONE;

    /** How the present order ended, also while the store does not say so any more. */
    private Optional<RolloutPhase> verdict = Optional.empty();

    /** Whether the store has spoken of the present order since it came back from a copy. */
    private boolean inStore = true;

    /** Whether the store speaks of the time before, since what it lost is not written again yet. */
    private boolean copyDoubted;

    private Canary(final MonotonicClock clock, final double allowedShare) {
        this.clock = clock;
        this.allowedShare = allowedShare;
        this.told = ToldVersions.of(clock);
    }

    /**
     * Returns the state of a service of which nothing is known.
     *
     * @param clock the clock
     * @param allowedShare the largest part of all requests that a bad version may get
     * @return the state
     */
    public static Canary of(final MonotonicClock clock, final double allowedShare) {
        return new Canary(Objects.requireNonNull(clock, "clock is null"), allowedShare);
    }

    /**
     * Tells whether anything is known of a version.
     *
     * @param version the version
     * @return true if it is in use, ordered or found bad
     */
    public boolean knows(final String version) {
        final boolean ordered = order.isPresent() && order.get().target().equals(version);
        return ordered || proven.contains(version) || bad.contains(version);
    }

    /**
     * Tells whether any version is in use.
     *
     * @return true if so
     */
    public boolean hasVersionInUse() {
        return !proven.isEmpty();
    }

    /**
     * Notes a version of which it is certain that no order speaks that is not known here.
     *
     * @param version the version
     */
    public void onVersionWithoutOrder(final String version) {
        final boolean superseded = order.isPresent() && completed();
        final boolean ordered = isTarget(version) || told.contains(version);
        if (!superseded && !ordered && !bad.contains(version)) {
            proven.add(version);
        }
    }

    /**
     * Takes the state of an order from the store.
     *
     * @param newer the order
     * @param elapsed the time since it was given, as far as known
     * @return false if nothing about it is new to this VM
     */
    public boolean onOrder(final RolloutOrder newer, final Duration elapsed) {
        if (order.isPresent() && !newer.position().isAfter(order.get().position())) {
            return false;
        }
        if (order.isPresent() && order.get().position().isOfFormerEra(newer.position())) {
            onOrderOfLaterEra(newer, elapsed);
        } else {
            onNewerOrder(newer, elapsed);
        }
        return true;
    }

    /**
     * Takes an order from a store that has come back from an older copy. For the version that this
     * VM knows as ordered it is the same order, and what this VM knows of it stays true. An order
     * whose end this VM knows is the copy's word of the time before; it is passed over while the
     * present order may still be written again, and has ended all the same after that.
     */
    private void onOrderOfLaterEra(final RolloutOrder newer, final Duration elapsed) {
        if (order.get().target().equals(newer.target())) {
            resume(newer);
            return;
        }
        final Optional<RolloutPhase> end = endedOrders.endOf(newer);
        final boolean inUseOrEnded =
                end.isPresent() || newer.phase().ended() || proven.contains(newer.target());
        if (copyDoubted && inUseOrEnded) {
            return;
        }
        if (end.isPresent()) {
            verdict = end;
            resume(newer);
        } else {
            onNewerOrder(newer, elapsed);
        }
    }

    private void resume(final RolloutOrder newer) {
        order = Optional.of(newer);
        inStore = true;
        if (newer.phase().ended()) {
            note(newer);
        }
    }

    private void onNewerOrder(final RolloutOrder newer, final Duration elapsed) {
        final boolean same =
                order.isPresent()
                        && order.get().target().equals(newer.target())
                        && order.get().phase().ended() == newer.phase().ended();
        if (!same) {
            begunAtMillis = clock.millis() - elapsed.toMillis();
            steady = newer.begunAt().isEmpty();
            firstPosition = newer.position();
            evidence = new CanaryEvidence();
            verdict = Optional.empty();
            bad.remove(newer.target());
            if (!newer.phase().ended()) {
                proven.remove(newer.target());
            }
        }
        order = Optional.of(newer);
        inStore = true;
        note(newer);
    }

    /** Notes how an order ended. */
    private void note(final RolloutOrder newer) {
        if (newer.phase() == RolloutPhase.COMPLETED) {
            proven.clear();
            proven.add(newer.target());
            bad.remove(newer.target());
        } else if (newer.phase() == RolloutPhase.ROLLED_BACK) {
            bad.add(newer.target());
            proven.remove(newer.target());
        }
        if (newer.phase().ended()) {
            verdict = Optional.of(newer.phase());
            endedOrders.onEnded(newer);
        }
    }

    /** Notes that the store has come back from an older copy. */
    public void onStoreRestored() {
        inStore = false;
        copyDoubted = true;
    }

    /** Notes that whoever wants to write again what the store lost has had the time to. */
    public void onStoreSettled() {
        copyDoubted = false;
    }

    /**
     * Returns how old the order is, for VMs that started after it: one that runs, or was found bad
     * and the store does not say so at present.
     *
     * @return the age, empty if there is no such order or this VM has it from a time of day only
     */
    public Optional<RolloutAge> age() {
        final boolean toBeTold = running() || untoldHalt();
        if (!toBeTold || !steady) {
            return Optional.empty();
        }
        final RolloutOrder of = order.get();
        return Optional.of(
                new RolloutAge(of.service(), of.target(), of.position(), elapsed().toMillis()));
    }

    /** Whether the present order was halted and the store does not say so. */
    private boolean untoldHalt() {
        return order.isPresent()
                && bad.contains(order.get().target())
                && !(inStore && order.get().phase().ended());
    }

    /**
     * Takes the age of the order from a VM that heard it being given.
     *
     * <p>A VM that starts in the middle reckons the age from a time of day that another VM wrote;
     * times of day differ and may jump by seconds, and a VM that is 2 s ahead would move sessions
     * in the first half of a roll-out of 16 s, or end it early. Steady clocks only ever lose time,
     * while their VM stands still, so the oldest age is the best.
     *
     * <p>An order that this VM does not know may be one that the store has lost. Its version is not
     * in use, whatever the store says, for as long as others tell of it.
     *
     * @param heard the age
     * @return by how much this VM's view changed; zero if the word is of another order
     */
    public Duration onAge(final RolloutAge heard) {
        final boolean ofThisOrder =
                running()
                        && order.get().target().equals(heard.target())
                        && !firstPosition.isAfter(heard.position());
        if (!ofThisOrder) {
            told.onTold(heard.target());
            return Duration.ZERO;
        }
        final long before = begunAtMillis;
        final long begun = clock.millis() - heard.millis();
        begunAtMillis = steady ? Math.min(begunAtMillis, begun) : begun;
        steady = true;
        return Duration.ofMillis(before - begunAtMillis);
    }

    /**
     * Tells whether a version may get a request.
     *
     * <p>A version may be found bad between two attempts of a request that was meant for it. One of
     * which others tell as under roll-out gets nothing beside the one in use: a VM that starts
     * while the store has lost the order would take it for one in use as well.
     *
     * @param version the version of a worker
     * @param toNew what {@link #choose} said for this request
     * @return true if so
     */
    public boolean admits(final String version, final boolean toNew) {
        if (toNew) {
            return isTarget(version) && !bad.contains(version);
        }
        final boolean onlyOne = proven.size() == 1;
        return proven.contains(version) && (onlyOne || !told.contains(version));
    }

    /**
     * Decides whether a request goes to the version under roll-out.
     *
     * <p>A session must keep its version over its requests, and these may come through any VM: one
     * that remembers which version a session ran on speaks for itself alone, and the next VM, or
     * the same after a restart, moves the session. So nothing is remembered; the answer follows
     * from the session's name, the order and the time since it, which all VMs have.
     *
     * <p>Law: over the time of a roll-out that is not halted, the answer for a session turns from
     * the old version to the new one once and never back.
     *
     * @param session the session that the request belongs to, empty if to none
     * @param request the request's id
     * @return the choice
     */
    public VersionChoice choose(final Optional<String> session, final String request) {
        if (!running()) {
            return new VersionChoice(false, Reason.NO_ROLLOUT);
        }
        final CanaryPlan plan = plan();
        final Duration elapsed = elapsed();
        if (plan.moving(elapsed)) {
            return new VersionChoice(true, Reason.LAST_PART);
        }
        if (session.isEmpty()) {
            return new VersionChoice(draw(request) < plan.share(elapsed), Reason.DRAWN);
        }
        return plan.sessionsJoin(elapsed)
                ? new VersionChoice(draw(session.get()) < plan.sessionShare(elapsed), Reason.DRAWN)
                : new VersionChoice(false, Reason.SESSIONS_STAY);
    }

    /**
     * Notes a worker's answer.
     *
     * @param server the worker
     * @param version the worker's version
     * @param failed whether the worker said that it failed
     * @param paceMillis the time per event, or for the whole answer; not positive if not known
     */
    public void onResponse(
            final BackendServerId server,
            final String version,
            final boolean failed,
            final double paceMillis) {
        if (isTarget(version)) {
            evidence.onNew(server, failed, paceMillis);
            if (running() && evidence.bad()) {
                bad.add(version);
            }
        } else {
            evidence.onOld(failed, paceMillis);
        }
    }

    /**
     * Tells what the store should say of the order and does not yet.
     *
     * @return the phase to write, empty if nothing is to be written
     */
    public Optional<RolloutPhase> phaseToWrite() {
        if (order.isEmpty() || order.get().phase().ended() || !inStore) {
            return Optional.empty();
        }
        if (verdict.isPresent()) {
            return verdict;
        }
        if (bad.contains(order.get().target())) {
            return Optional.of(RolloutPhase.ROLLED_BACK);
        }
        if (plan().complete(elapsed())) {
            return Optional.of(RolloutPhase.COMPLETED);
        }
        return order.get().phase() == RolloutPhase.ORDERED
                ? Optional.of(RolloutPhase.IN_PROGRESS)
                : Optional.empty();
    }

    public Optional<RolloutOrder> order() {
        return order;
    }

    /**
     * Tells whether what is due to be written was in the store before it came back from a copy, so
     * that all VMs find it due at once.
     *
     * @return true if so
     */
    public boolean rewritesLostPhase() {
        return verdict.isPresent();
    }

    /**
     * Describes the evidence for the log.
     *
     * @return the text
     */
    public String evidence() {
        return evidence.toString();
    }

    private boolean running() {
        return order.isPresent() && verdict.isEmpty() && !bad.contains(order.get().target());
    }

    private boolean completed() {
        return verdict.equals(Optional.of(RolloutPhase.COMPLETED));
    }

    private boolean isTarget(final String version) {
        return order.isPresent() && order.get().target().equals(version) && !completed();
    }

    private CanaryPlan plan() {
        return new CanaryPlan(order.orElseThrow().duration(), allowedShare);
    }

    /**
     * Returns the time since the order was given.
     *
     * @return the time, as far as this VM knows
     */
    public Duration elapsed() {
        return Duration.ofMillis(clock.millis() - begunAtMillis);
    }

    private double draw(final String name) {
        final long bits = Rendezvous.weight(name, order.orElseThrow().target());
        return (bits >>> 11) * 0x1.0p-53;
    }
}
