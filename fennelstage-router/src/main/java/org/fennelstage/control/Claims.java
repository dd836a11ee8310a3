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
 * Takes, completes and releases claims for the requests of this VM, through the keeper of each
 * key's slot in this data centre or, if the keeper does not reply, through this VM's own keeper.
 *
 * <p>Invariant: a claim is taken only if {@link ClaimResult.Made} arrives before the timeout; a
 * request whose claim timed out never runs, even if the claim is written later. Thread-safe.
 */
public final class Claims {

    private static final Claim.State[] STATES = Claim.State.values();
    private static final Duration RELEASE_RETRY_DELAY = Duration.ofSeconds(2);
    private static final int MAX_RELEASE_TRIES = 30;

    private final Duties duties;
    private final ClaimKeeper keeper;
    private final ScheduledExecutorService timer;
    private final InstantSource clock;
    private final int slots;
    private final Duration timeout;

    /**
     * Creates the claims of this VM.
     *
     * @param duties determines the keepers and sends messages to them
     * @param keeper this VM's own keeper
     * @param timer schedules timeouts and retries
     * @param clock the clock
     * @param slots the number of slots
     * @param timeout the maximum wait for a claim
     */
    public Claims(
            final Duties duties,
            final ClaimKeeper keeper,
            final ScheduledExecutorService timer,
            final InstantSource clock,
            final int slots,
            final Duration timeout) {
        this.duties = Objects.requireNonNull(duties, "duties is null");
        this.keeper = Objects.requireNonNull(keeper, "keeper is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.slots = slots;
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
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
     * Claims the right to run a request.
     *
     * @param key the claim's key
     * @param holder the request
     * @return the result; completes at the timeout at the latest
     */
    public CompletableFuture<ClaimResult> take(final String key, final RequestId holder) {
        final Claim claim = new Claim(holder, duties.self(), Claim.State.HELD, clock.millis());
        final ClaimChange change = new ClaimChange(key, claim);
        final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        submit(change).thenAccept(result::complete);
        timer.schedule(
                () -> result.complete(new ClaimResult.Unavailable("the claim timed out")),
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
        return result;
    }

    /**
     * Marks a claim as done after its holder has run. If this write is lost the claim stays held,
     * and a retry of the caller gets the outcome "unknown" instead of "already done".
     *
     * @param key the claim's key
     * @param holder the request
     */
    public void done(final String key, final RequestId holder) {
        settle(key, holder, Claim.State.DONE, 1);
    }

    /**
     * Releases a claim whose request certainly did not run.
     *
     * @param key the claim's key
     * @param holder the request
     */
    public void release(final String key, final RequestId holder) {
        settle(key, holder, Claim.State.RELEASED, MAX_RELEASE_TRIES);
    }

    /**
     * Handles a message if it is a claim request.
     *
     * @param message the message
     * @param reply sends the reply to the sender
     * @return false if the message is of another kind
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
                .thenAccept(result -> reply.accept(encode(result, claim)));
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
                        result -> {
                            if (!(result instanceof ClaimResult.Unavailable)) {
                                return;
                            }
                            if (triesLeft > 1) {
                                timer.schedule(
                                        () -> settle(key, holder, state, triesLeft - 1),
                                        RELEASE_RETRY_DELAY.toMillis(),
                                        TimeUnit.MILLISECONDS);
                            } else {
                                EventLog.write(Event.CLAIM_RELEASE_FAILED, "request", holder);
                            }
                        });
    }

    private CompletableFuture<ClaimResult> submit(final ClaimChange change) {
        final int slot =
                (int) Long.remainderUnsigned(Rendezvous.weight("claim", change.key()), slots);
        final Optional<VmId> holder = duties.holder("claims/" + slot);
        if (holder.isEmpty() || holder.get().equals(duties.self())) {
            return keeper.submit(slot, change);
        }
        return duties.request(holder.get(), encode(slot, change), timeout.dividedBy(2))
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

    private static Envelope.Builder encode(final ClaimResult result, final Claim requested) {
        final ClaimReply.Builder reply = ClaimReply.newBuilder();
        if (result instanceof ClaimResult.Made) {
            reply.setResult(ClaimReply.Result.MADE).setHolder(requested.holder().value());
        } else if (result instanceof ClaimResult.Conflict conflict) {
            reply.setResult(ClaimReply.Result.REFUSED)
                    .setHolder(conflict.current().holder().value())
                    .setState(conflict.current().state().ordinal());
        }
        return Envelope.newBuilder().setClaimReply(reply);
    }

    private static ClaimResult decode(final ClaimReply reply, final ClaimChange change) {
        return switch (reply.getResult()) {
            case MADE -> new ClaimResult.Made();
            case REFUSED ->
                    new ClaimResult.Conflict(
                            new Claim(
                                    RequestId.of(reply.getHolder()),
                                    change.claim().vm(),
                                    STATES[reply.getState()],
                                    change.claim().atMillis()));
            default -> new ClaimResult.Unavailable("the keeper did not confirm the claim");
        };
    }
}
