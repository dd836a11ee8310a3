package org.fennelstage.control;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fennelstage.claim.Claim;
import org.fennelstage.claim.ClaimChange;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VmId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.member.Rendezvous;
import org.fennelstage.peer.generated.ClaimReply;
import org.fennelstage.peer.generated.ClaimRequest;
import org.fennelstage.peer.generated.Envelope;

/**
 * Takes, settles and gives back claims for the requests of this VM, through the keeper of each
 * key's slot in this data centre or, if that does not answer, by itself.
 *
 * <p>Invariant: a claim counts as taken only if "made" was heard before the wait was over; a
 * request whose wait is over never runs, whatever becomes of its claim later. Thread-safe.
 */
public final class Claims {

    private static final Claim.State[] STATES = Claim.State.values();
    private static final Duration RELEASE_RETRY = Duration.ofSeconds(2);
    private static final int RELEASE_TRIES = 30;

    private final Duties duties;
    private final ClaimKeeper keeper;
    private final ScheduledExecutorService timer;
    private final InstantSource clock;
    private final int slots;
    private final Duration wait;

    /**
     * Creates claims.
     *
     * @param duties reaches the keepers
     * @param keeper this VM's own keeper
     * @param timer runs waits
     * @param clock the clock
     * @param slots the number of slots
     * @param wait the longest wait for a claim
     */
    public Claims(
            final Duties duties,
            final ClaimKeeper keeper,
            final ScheduledExecutorService timer,
            final InstantSource clock,
            final int slots,
            final Duration wait) {
        this.duties = Objects.requireNonNull(duties, "duties is null");
        this.keeper = Objects.requireNonNull(keeper, "keeper is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.slots = slots;
        this.wait = Objects.requireNonNull(wait, "wait is null");
    }

    /**
     * Returns the key under which a team's idempotency key is claimed.
     *
     * @param team the team
     * @param idempotencyKey the key as sent by the caller
     * @return the claim's key
     */
    public static String key(final TeamId team, final String idempotencyKey) {
        return team.value() + "/" + idempotencyKey;
    }

    /**
     * Takes the right to run a request.
     *
     * @param key the claim's key
     * @param holder the request
     * @return made, refused or unavailable; never later than the wait
     */
    public CompletableFuture<ClaimAnswer> take(final String key, final RequestId holder) {
        final Claim claim = new Claim(holder, duties.self(), Claim.State.HELD, clock.millis());
        final ClaimChange change = new ClaimChange(key, claim);
        final CompletableFuture<ClaimAnswer> answer = new CompletableFuture<>();
        submit(change).thenAccept(answer::complete);
        timer.schedule(
                () -> answer.complete(new ClaimAnswer.Unavailable("no answer in time")),
                wait.toMillis(),
                TimeUnit.MILLISECONDS);
        return answer;
    }

    /**
     * Notes that the holder ran to its end. If this is lost the claim stays held, and a repeated
     * request is told "unknown" instead of "already done".
     *
     * @param key the claim's key
     * @param holder the request
     */
    public void done(final String key, final RequestId holder) {
        settle(key, holder, Claim.State.DONE, 1);
    }

    /**
     * Gives the right back after it is certain that the request did not run.
     *
     * @param key the claim's key
     * @param holder the request
     */
    public void release(final String key, final RequestId holder) {
        settle(key, holder, Claim.State.RELEASED, RELEASE_TRIES);
    }

    /**
     * Takes a message if it is for the keeper.
     *
     * @param message the message
     * @param reply sends the answer
     * @return false if the message belongs to someone else
     */
    public boolean handle(final Envelope message, final Consumer<Envelope.Builder> reply) {
        if (message.getBodyCase() != Envelope.BodyCase.CLAIM_REQUEST) {
            return false;
        }
        final ClaimRequest request = message.getClaimRequest();
        final Claim claim =
                new Claim(
                        RequestId.of(request.getHolder()),
                        VmId.of(request.getVm()),
                        STATES[request.getState()],
                        request.getAtMillis());
        keeper.submit(request.getSlot(), new ClaimChange(request.getKey(), claim))
                .thenAccept(answer -> reply.accept(encode(answer, claim)));
        return true;
    }

    private void settle(
            final String key,
            final RequestId holder,
            final Claim.State state,
            final int triesLeft) {
        final Claim claim = new Claim(holder, duties.self(), state, clock.millis());
        submit(new ClaimChange(key, claim))
                .thenAccept(
                        answer -> {
                            if (!(answer instanceof ClaimAnswer.Unavailable)) {
                                return;
                            }
                            if (triesLeft > 1) {
                                timer.schedule(
                                        () -> settle(key, holder, state, triesLeft - 1),
                                        RELEASE_RETRY.toMillis(),
                                        TimeUnit.MILLISECONDS);
                            } else {
                                EventLog.write(Event.CLAIM_RELEASE_FAILED, "request", holder);
                            }
                        });
    }

    private CompletableFuture<ClaimAnswer> submit(final ClaimChange change) {
        final int slot =
                (int) Long.remainderUnsigned(Rendezvous.weight("claim", change.key()), slots);
        final Optional<VmId> holder = duties.holder("claims/" + slot);
        if (holder.isEmpty() || holder.get().equals(duties.self())) {
            return keeper.submit(slot, change);
        }
        return duties.request(holder.get(), encode(slot, change), wait.dividedBy(2))
                .thenCompose(
                        reply ->
                                reply.map(e -> decode(e.getClaimReply(), change))
                                        .map(CompletableFuture::completedFuture)
                                        .orElseGet(() -> keeper.submit(slot, change)));
    }

    private static Envelope.Builder encode(final int slot, final ClaimChange change) {
        return Envelope.newBuilder()
                .setClaimRequest(
                        ClaimRequest.newBuilder()
                                .setSlot(slot)
                                .setKey(change.key())
                                .setHolder(change.claim().holder().value())
                                .setVm(change.claim().vm().value())
                                .setState(change.claim().state().ordinal())
                                .setAtMillis(change.claim().atMillis()));
    }

    private static Envelope.Builder encode(final ClaimAnswer answer, final Claim wanted) {
        final ClaimReply.Builder reply = ClaimReply.newBuilder();
        if (answer instanceof ClaimAnswer.Made) {
            reply.setResult(ClaimReply.Result.MADE).setHolder(wanted.holder().value());
        } else if (answer instanceof ClaimAnswer.Refused refused) {
            reply.setResult(ClaimReply.Result.REFUSED)
                    .setHolder(refused.held().holder().value())
                    .setState(refused.held().state().ordinal());
        }
        return Envelope.newBuilder().setClaimReply(reply);
    }

    private static ClaimAnswer decode(final ClaimReply reply, final ClaimChange change) {
        return switch (reply.getResult()) {
            case MADE -> new ClaimAnswer.Made();
            case REFUSED ->
                    new ClaimAnswer.Refused(
                            new Claim(
                                    RequestId.of(reply.getHolder()),
                                    change.claim().vm(),
                                    STATES[reply.getState()],
                                    change.claim().atMillis()));
            default -> new ClaimAnswer.Unavailable("the keeper could not reach the object API");
        };
    }
}
