package org.fennelstage.canary;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.fennelstage.canary.VersionChoice.Reason;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.member.Rendezvous;
import org.fennelstage.time.MonotonicClock;

/**
 * The versions of one service: which of them may get requests, and whether this VM has found a new
 * one to be bad.
 *
 * <p>Each VM decides by the responses to its own requests and by what other VMs report of theirs,
 * and halts the rollout for itself at once; the halt also reaches the other VMs through the store.
 * Invariants: a version that may belong to an unknown order gets no requests; a halted version gets
 * no requests, whatever the store reports of the same order later. Not thread-safe.
 *
 * <p>A store that was restored from an older copy may have lost the end of an order, or the whole
 * order. This VM keeps the end that it knows, and writes it again once the store holds the order:
 * VMs that start later know only the store, and would send requests to a version that was found
 * bad. An older order that the restored store holds instead changes nothing.
 */
public final class Canary {

    /**
     * Time in which a VM receives the evidence of the others; milliseconds. A VM that starts during
     * a rollout would otherwise move and complete what the others hold back.
     */
    private static final long EVIDENCE_EXCHANGE_MILLIS = 1_500;

    private final MonotonicClock clock;
    private final double allowedShare;
    private final Set<String> versionsInUse = new HashSet<>();
    private final Set<String> badVersions = new HashSet<>();
    private final ReportedVersions reportedVersions;
    private final EndedOrders endedOrders = EndedOrders.empty();
    private Optional<RolloutOrder> order = Optional.empty();
    private final VersionComparison comparison;
    private BooleanSupplier hasOtherVms = () -> false;
    private long startMillis;

    /** When this VM received the present order, and whether others may have begun it before. */
    private long receivedMillis;

    private boolean receivedLate;

    /** Whether this VM has begun to send all sessions to the new version. */
    private boolean sessionsMoved;

    /** Whether this VM has begun to send all traffic to the new version. */
    private boolean allMoved;

    /** Whether the start of the order is known by monotonic clocks only, of this VM or others. */
    private boolean startIsMonotonic;

    /** The position at which this VM first received the present order. */
    private Position firstPosition = Position.NONE;

    /** How the present order ended, even if a restored store no longer holds that. */
    private Optional<RolloutPhase> endPhase = Optional.empty();

    /** Whether the store has reported the present order since it was restored from a copy. */
    private boolean inStore = true;

    /** Whether the store was restored from a copy and what it lost may not be rewritten yet. */
    private boolean rewritePending;

    private Canary(
            final MonotonicClock clock, final MonotonicClock listening, final double allowedShare) {
        this.clock = clock;
        this.allowedShare = allowedShare;
        this.reportedVersions = ReportedVersions.of(clock);
        this.comparison = new VersionComparison(listening, this::isTarget, this::haltIfBad);
    }

    /**
     * Returns the state of a service without known versions.
     *
     * @param clock the clock
     * @param allowedShare the largest share of all requests that a bad version may get
     * @return the state
     */
    public static Canary of(final MonotonicClock clock, final double allowedShare) {
        return of(clock, clock, allowedShare);
    }

    /**
     * Returns the state of a service without known versions.
     *
     * @param clock the clock
     * @param listening measures how long responses take
     * @param allowedShare the largest share of all requests that a bad version may get
     * @return the state
     */
    public static Canary of(
            final MonotonicClock clock, final MonotonicClock listening, final double allowedShare) {
        return new Canary(
                Objects.requireNonNull(clock, "clock is null"),
                Objects.requireNonNull(listening, "listening is null"),
                allowedShare);
    }

    /**
     * Returns whether a version is known.
     *
     * @param version the version
     * @return true if it is in use, ordered or found bad
     */
    public boolean knows(final String version) {
        final boolean ordered = order.isPresent() && order.get().target().equals(version);
        return ordered || versionsInUse.contains(version) || badVersions.contains(version);
    }

    /**
     * Returns whether any version is in use.
     *
     * @return true if at least one version is in use
     */
    public boolean hasVersionInUse() {
        return !versionsInUse.isEmpty();
    }

    /**
     * Puts a version in use that certainly belongs to no order unknown to this VM. It is ignored if
     * it was ordered, reported by other VMs or found bad, or if a rollout has been completed.
     *
     * @param version the version
     */
    public void onVersionWithoutOrder(final String version) {
        final boolean superseded = order.isPresent() && isCompleted();
        final boolean ordered = isTarget(version) || reportedVersions.contains(version);
        if (!superseded && !ordered && !badVersions.contains(version)) {
            versionsInUse.add(version);
        }
    }

    /**
     * Updates the order from the store.
     *
     * @param newer the order's state
     * @param elapsed the time since it was given, as far as known
     * @return false if the state is not newer than the known one
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
     * Updates the order from a store that was restored from an older copy. An order for the target
     * that this VM knows is the same order and keeps its state. An order whose end this VM knows is
     * an old one: it is ignored while the present order may still be rewritten, and counts as ended
     * after that.
     */
    private void onOrderOfLaterEra(final RolloutOrder newer, final Duration elapsed) {
        if (order.get().target().equals(newer.target())) {
            replaceOrder(newer);
            return;
        }
        final Optional<RolloutPhase> end = endedOrders.endOf(newer);
        final boolean inUseOrEnded =
                end.isPresent() || newer.phase().ended() || versionsInUse.contains(newer.target());
        if (rewritePending && inUseOrEnded) {
            return;
        }
        if (end.isPresent()) {
            endPhase = end;
            replaceOrder(newer);
        } else {
            onNewerOrder(newer, elapsed);
        }
    }

    /** Replaces the order without a restart of the rollout. */
    private void replaceOrder(final RolloutOrder newer) {
        order = Optional.of(newer);
        inStore = true;
        if (newer.phase().ended()) {
            recordEnd(newer);
        }
    }

    private void onNewerOrder(final RolloutOrder newer, final Duration elapsed) {
        final boolean same =
                order.isPresent()
                        && order.get().target().equals(newer.target())
                        && order.get().phase().ended() == newer.phase().ended();
        if (!same) {
            startMillis = clock.millis() - elapsed.toMillis();
            startIsMonotonic = newer.begunAt().isEmpty();
            firstPosition = newer.position();
            receivedMillis = clock.millis();
            receivedLate = !elapsed.isZero();
            sessionsMoved = false;
            allMoved = false;
            comparison.begin(receivedLate);
            endPhase = Optional.empty();
            badVersions.remove(newer.target());
            if (!newer.phase().ended()) {
                versionsInUse.remove(newer.target());
            }
        }
        order = Optional.of(newer);
        inStore = true;
        recordEnd(newer);
    }

    /** Updates the versions if the order has ended. */
    private void recordEnd(final RolloutOrder newer) {
        if (newer.phase() == RolloutPhase.COMPLETED) {
            versionsInUse.clear();
            versionsInUse.add(newer.target());
            badVersions.remove(newer.target());
        } else if (newer.phase() == RolloutPhase.ROLLED_BACK) {
            badVersions.add(newer.target());
            versionsInUse.remove(newer.target());
        }
        if (newer.phase().ended()) {
            endPhase = Optional.of(newer.phase());
            endedOrders.onEnded(newer);
        }
    }

    /** Records that the store was restored from an older copy. */
    public void onStoreRestored() {
        inStore = false;
        rewritePending = true;
    }

    /** Records that operators and VMs have had time to rewrite what a restored store lost. */
    public void onStoreSettled() {
        rewritePending = false;
    }

    /**
     * Returns the age of the order, to be sent to VMs that started after it, if the order is
     * running or was found bad and the store does not hold the halt.
     *
     * @return the age, empty if there is no such order or its start is known only by a wall clock
     */
    public Optional<RolloutAge> age() {
        final boolean reportable = isRunning() || isHaltMissingInStore();
        if (!reportable || !startIsMonotonic) {
            return Optional.empty();
        }
        final RolloutOrder present = order.get();
        return Optional.of(
                new RolloutAge(
                        present.service(),
                        present.target(),
                        present.position(),
                        elapsed().toMillis()));
    }

    /**
     * Returns whether this VM has found the new version of the present order bad.
     *
     * @return true if it gets no requests and the store does not hold the halt yet
     */
    public boolean isHaltedHere() {
        return isHaltMissingInStore() && endPhase.isEmpty();
    }

    /**
     * Returns whether the move is due and held back, since the version is in doubt.
     *
     * @return true until responses decide
     */
    public boolean isHeld() {
        return isRunning()
                && ((!sessionsMoved && plan().sessionsMoved(elapsed()))
                        || (!allMoved && plan().allTrafficMoved(elapsed())));
    }

    /**
     * Returns whether the new version is to be tested under load: it gets enough requests, and is
     * not completed yet.
     *
     * @return true from the move to the end of the rollout
     */
    public boolean mayTestLoad() {
        return isRunning() && sessionsMoved;
    }

    /**
     * Returns whether a backend server may be tested under load. If none of the new version is
     * left, its requests go to servers of another one, which are no part of the test.
     *
     * @param server the backend server
     * @param version its version
     * @return false also if it has failed its test: the test goes on at others, since a single
     *     server may be broken
     */
    public boolean mayTestLoad(final BackendServerId server, final String version) {
        return mayTestLoad() && isTarget(version) && !failsUnderLoad(server);
    }

    private boolean isHaltMissingInStore() {
        return order.isPresent()
                && badVersions.contains(order.get().target())
                && !(inStore && order.get().phase().ended());
    }

    /**
     * Updates the age of the order from a peer message.
     *
     * <p>A VM that starts during a rollout computes the age from a time that another VM's wall
     * clock gave. Wall clocks may differ by seconds, which would move sessions in the first half of
     * a short rollout or end it early. Monotonic clocks only lose time, while their VM is
     * suspended, so the highest reported age is the most accurate.
     *
     * <p>If this VM does not know the order, the store may have lost it. The version then does not
     * count as in use while other VMs report it.
     *
     * @param reported the age
     * @return by how much the elapsed time changed; zero if the report is for another order
     */
    public Duration onAge(final RolloutAge reported) {
        final boolean ofThisOrder =
                isRunning()
                        && order.get().target().equals(reported.target())
                        && !firstPosition.isAfter(reported.position());
        if (!ofThisOrder) {
            reportedVersions.onReported(reported.target());
            return Duration.ZERO;
        }
        final long before = startMillis;
        final long reportedStart = clock.millis() - reported.millis();
        startMillis = startIsMonotonic ? Math.min(startMillis, reportedStart) : reportedStart;
        startIsMonotonic = true;
        return Duration.ofMillis(before - startMillis);
    }

    /**
     * Returns whether a version was found bad and is not in use.
     *
     * @param version the version
     * @return true if it gets no requests, also if the store does not hold the halt
     */
    public boolean isHalted(final String version) {
        return badVersions.contains(version) && !versionsInUse.contains(version);
    }

    /**
     * Returns whether a version may get a request; to be called before each attempt, since a
     * version may be found bad between two attempts.
     *
     * <p>A version that other VMs report as being rolled out gets nothing if another one is in use:
     * a VM that starts while the store has lost the order would otherwise treat both as in use.
     *
     * @param version the version of a backend server
     * @param toNew the result of {@link #choose} for this request
     * @return true if the version may get the request
     */
    public boolean admits(final String version, final boolean toNew) {
        if (toNew) {
            return isTarget(version) && !badVersions.contains(version);
        }
        final boolean onlyOne = versionsInUse.size() == 1;
        return versionsInUse.contains(version) && (onlyOne || !reportedVersions.contains(version));
    }

    /**
     * Decides whether a request goes to the new version.
     *
     * <p>The requests of a session must keep to one version, although they may arrive through any
     * VM and VMs restart. The decision therefore uses no memory of sessions: it depends only on the
     * session's name, the order and the time since the order, which all VMs know.
     *
     * <p>Invariant: over a rollout that is not halted, the decision for a session changes once,
     * from the current version to the new one.
     *
     * @param session the session that the request belongs to, empty if there is none
     * @param request the request's id
     * @return the decision
     */
    public VersionChoice choose(final Optional<String> session, final String request) {
        if (!isRunning()) {
            return new VersionChoice(false, Reason.NO_ROLLOUT);
        }
        if (session.isPresent() ? moveSessionsIfDue() : moveAllIfDue()) {
            return new VersionChoice(true, Reason.LAST_PART);
        }
        final CanaryPlan plan = plan();
        final Duration elapsed = plan.beforeMove(elapsed());
        if (session.isEmpty()) {
            return new VersionChoice(hashFraction(request) < plan.share(elapsed), Reason.DRAWN);
        }
        return plan.includesSessions(elapsed)
                ? new VersionChoice(
                        hashFraction(session.get()) < plan.sessionShare(elapsed), Reason.DRAWN)
                : new VersionChoice(false, Reason.SESSIONS_STAY);
    }

    /**
     * Moves all sessions to the new version if it is time and the version is not in doubt. A
     * version in doubt keeps its small share, also beyond the duration of the rollout, until its
     * responses decide.
     */
    private boolean moveSessionsIfDue() {
        if (!sessionsMoved && plan().sessionsMoved(elapsed()) && mayMove()) {
            sessionsMoved = true;
            comparison.onMoved();
        }
        return sessionsMoved;
    }

    /** Moves all traffic to the new version, after the sessions and by the same conditions. */
    private boolean moveAllIfDue() {
        if (!allMoved && moveSessionsIfDue() && plan().allTrafficMoved(elapsed()) && mayMove()) {
            allMoved = true;
        }
        return allMoved;
    }

    /**
     * Returns whether the new version has failed a moment ago, and there is still time to see
     * whether it fails again.
     */
    private boolean awaitsMoreResponses() {
        return comparison.hasFailedRecently() && plan().mayPostponeCompletion(elapsed());
    }

    private boolean mayMove() {
        return !awaitsEvidence() && !isInDoubt();
    }

    /** Returns whether this VM has had no time yet to receive what others have seen. */
    private boolean awaitsEvidence() {
        return receivedLate
                && hasOtherVms.getAsBoolean()
                && clock.millis() - receivedMillis < EVIDENCE_EXCHANGE_MILLIS;
    }

    /**
     * Returns whether the new version is in doubt. Responses that could not be compared count for a
     * limited time only, since a service may have too few requests to compare any.
     */
    private boolean isInDoubt() {
        final boolean mayWait =
                elapsed().compareTo(order.orElseThrow().duration().multipliedBy(2)) < 0;
        return comparison.isInDoubt(mayWait);
    }

    /**
     * Begins to observe the response to a request that is being sent.
     *
     * @param server the backend server
     * @param version its version
     * @param kind the kind of request
     * @param stream whether the response is a stream of events
     * @param timed whether its times count; those of a backend server that warms up do not
     * @return the observation, which receives the events of the response
     */
    public ResponseObservation observe(
            final BackendServerId server,
            final String version,
            final ResponseKind kind,
            final boolean stream,
            final boolean timed) {
        return comparison.observe(server, version, kind, stream, timed, false);
    }

    /**
     * Begins to observe the response to a request of a load test. Its times do not count: a full
     * backend server is slower, whatever its version.
     *
     * @param server the backend server
     * @param version its version
     * @param kind the kind of request
     * @param stream whether the response is a stream of events
     * @return the observation, which receives the events of the response
     */
    public ResponseObservation observeLoadTest(
            final BackendServerId server,
            final String version,
            final ResponseKind kind,
            final boolean stream) {
        return comparison.observe(server, version, kind, stream, false, true);
    }

    /**
     * Returns whether a backend server of the new version fails in a load test.
     *
     * @param server the backend server
     * @return true if further requests there would tell nothing new
     */
    boolean failsUnderLoad(final BackendServerId server) {
        return comparison.failsUnderLoad(server);
    }

    private void haltIfBad() {
        if (isRunning() && comparison.isBad()) {
            badVersions.add(order.get().target());
        }
    }

    /**
     * Sets whether there are other VMs, which report what they have seen; none by default.
     *
     * @param others the condition, evaluated when it matters
     */
    public void awaitEvidenceIf(final BooleanSupplier others) {
        hasOtherVms = Objects.requireNonNull(others, "others is null");
    }

    /**
     * Sets the listener for responses of new versions that failed or are slow.
     *
     * @param listener the listener
     */
    public void onBadResponse(final BadResponseListener listener) {
        comparison.onBadResponse(listener);
    }

    /**
     * Returns what this VM has seen of the new version, to be sent to other VMs while they may need
     * it.
     *
     * @param source identifies this process
     * @return the evidence, empty if there is none or the rollout has ended
     */
    public Optional<RolloutEvidence> evidenceToSend(final long source) {
        if (!isRunning() && !isHaltMissingInStore()) {
            return Optional.empty();
        }
        final Map<EvidenceKey, MeasureTotals> totals = comparison.seenHere();
        if (totals.isEmpty()) {
            return Optional.empty();
        }
        final RolloutOrder present = order.get();
        return Optional.of(
                new RolloutEvidence(
                        present.service(), present.target(), present.position(), source, totals));
    }

    /**
     * Returns how often this VM has seen a failure or a slow response of the new version of the
     * present order.
     *
     * @return the number
     */
    public int badSeenHere() {
        return comparison.badSeenHere();
    }

    /**
     * Adds what another VM has seen of the new version. Reports on other orders are ignored.
     *
     * @param reported the evidence
     */
    public void onEvidence(final RolloutEvidence reported) {
        if (isRunning()
                && order.get().target().equals(reported.target())
                && !firstPosition.isAfter(reported.position())) {
            comparison.onReported(reported);
        }
    }

    /**
     * Returns the phase that is to be written to the store.
     *
     * @return the phase, empty if the store is up to date or does not hold the order
     */
    public Optional<RolloutPhase> phaseToWrite() {
        if (order.isEmpty() || order.get().phase().ended() || !inStore) {
            return Optional.empty();
        }
        if (endPhase.isPresent()) {
            return endPhase;
        }
        if (badVersions.contains(order.get().target())) {
            return Optional.of(RolloutPhase.ROLLED_BACK);
        }
        if (moveAllIfDue()
                && plan().isComplete(elapsed())
                && !isInDoubt()
                && !awaitsMoreResponses()) {
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
     * Returns whether {@link #phaseToWrite()} was lost when the store was restored from a copy. All
     * VMs then find it missing at the same time.
     *
     * @return true if the store held the order's end before
     */
    public boolean rewritesLostPhase() {
        return endPhase.isPresent();
    }

    /**
     * Describes the evidence for the log.
     *
     * @return the text
     */
    public String evidence() {
        return comparison.toString();
    }

    private boolean isRunning() {
        return order.isPresent()
                && endPhase.isEmpty()
                && !badVersions.contains(order.get().target());
    }

    private boolean isCompleted() {
        return endPhase.equals(Optional.of(RolloutPhase.COMPLETED));
    }

    private boolean isTarget(final String version) {
        return order.isPresent() && order.get().target().equals(version) && !isCompleted();
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
        return Duration.ofMillis(clock.millis() - startMillis);
    }

    /** Maps a name to [0, 1) by its hash, differently for each target. */
    private double hashFraction(final String name) {
        final long bits = Rendezvous.weight(name, order.orElseThrow().target());
        return (bits >>> 11) * 0x1.0p-53;
    }
}
