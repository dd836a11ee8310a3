package org.fennelstage.peer;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fennelstage.configuration.ConfigurationTable;
import org.fennelstage.configuration.Digest;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.id.VmId;
import org.fennelstage.member.Member;
import org.fennelstage.member.MemberTable;
import org.fennelstage.peer.generated.Done;
import org.fennelstage.peer.generated.Envelope;
import org.fennelstage.peer.generated.Halts;
import org.fennelstage.peer.generated.Probe;
import org.fennelstage.peer.generated.ProbeRequest;
import org.fennelstage.peer.generated.Pull;
import org.fennelstage.rollout.HaltTable;

/**
 * Synchronizes members, configuration and halts between this VM and its peers.
 *
 * <p>A change is pushed immediately to all VMs of the own data centre and to one VM of each other
 * data centre; a VM that receives a new change from another data centre forwards it within its own.
 * Each probe and its reply carry digests, so that a change missed by a push is pulled within a few
 * periods. Works without the store.
 *
 * <p>Invariant: the number of periodic messages per VM does not grow with the number of VMs.
 * Thread-safe; each synchronized table has its own monitor, and no two monitors are held at once.
 */
public final class PeerGroup implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger(PeerGroup.class.getName());

    private static final int INDIRECT_PROBERS = 2;
    private static final int MAX_OBJECTS_PER_PUSH = 200;

    private final MemberTable members;
    private final ConfigurationTable configuration;
    private final HaltTable halts;
    private final EventLoop loop;
    private final PeerTiming timing;
    private final RandomGenerator random;
    private final List<InetSocketAddress> seeds;
    private final Listener listener;
    private volatile PeerNetwork network;
    private volatile boolean closed;

    /** Receives notifications of changes. Called on event loops; must not block. */
    public interface Listener {

        /**
         * Called after newer configuration objects were merged.
         *
         * @param changed the objects that are newer than before
         */
        void onConfiguration(List<StoredObject> changed);

        /**
         * Called when a VM was added or its state changed.
         *
         * @param member the VM with its new state
         */
        void onMember(Member member);

        /** Called after halts were added to the table. */
        void onHalts();
    }

    /**
     * The tables that a group synchronizes. Immutable; the tables are thread-safe.
     *
     * @param members the known VMs
     * @param configuration the configuration objects
     * @param halts the halted rollouts
     */
    public record Tables(MemberTable members, ConfigurationTable configuration, HaltTable halts) {}

    /**
     * Creates a group that does nothing until {@link #start}.
     *
     * @param tables the tables to synchronize
     * @param loop the event loop of the periodic probes
     * @param timing the probe period and timeouts
     * @param random selects peers and the delay of the first probe
     * @param seeds addresses of the VMs to join through
     * @param listener receives notifications of changes
     */
    public PeerGroup(
            final Tables tables,
            final EventLoop loop,
            final PeerTiming timing,
            final RandomGenerator random,
            final List<InetSocketAddress> seeds,
            final Listener listener) {
        this.members = tables.members();
        this.configuration = tables.configuration();
        this.halts = tables.halts();
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.timing = Objects.requireNonNull(timing, "timing is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.seeds = List.copyOf(seeds);
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Joins the group through the seeds and starts the periodic probes.
     *
     * @param peerNetwork the network to send over
     */
    public void start(final PeerNetwork peerNetwork) {
        network = peerNetwork;
        join();
        final long period = timing.period().toMillis();
        loop.scheduleWithFixedDelay(
                this::runPeriod, random.nextLong(period) + 1, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Processes a message if it is of a kind that this group handles.
     *
     * @param message the message
     * @param reply sends the reply
     * @return false if the message is of another kind and was not processed
     */
    public boolean handle(final Envelope message, final Consumer<Envelope.Builder> reply) {
        switch (message.getBodyCase()) {
            case PROBE -> onProbe(message.getProbe(), reply);
            case PROBE_REQUEST -> onProbeRequest(message.getProbeRequest(), reply);
            case OBJECTS -> onObjects(message);
            case PULL -> onPull(message.getPull(), reply);
            case HALTS -> onHalts(message);
            default -> {
                return false;
            }
        }
        return true;
    }

    /**
     * Merges objects read from the store and pushes the newer ones to peers.
     *
     * @param objects the objects
     */
    public void publish(final Collection<StoredObject> objects) {
        final List<StoredObject> accepted = configuration.merge(objects);
        if (accepted.isEmpty()) {
            return;
        }
        listener.onConfiguration(accepted);
        push(accepted, true);
    }

    /** Notifies the listener and pushes all halts to peers after a halt was added on this VM. */
    public void publishHalts() {
        listener.onHalts();
        pushHalts(true);
    }

    /**
     * Returns the address on which a VM listens for peers.
     *
     * @param id the VM
     * @return the address, empty if the VM is unknown or dead
     */
    public Optional<InetSocketAddress> address(final VmId id) {
        return members.find(id).filter(m -> m.state() != Member.State.DEAD).map(PeerGroup::address);
    }

    /** Marks this VM as draining and reports it to a few peers. */
    public void leave() {
        members.startDraining();
        for (int i = 0; i < INDIRECT_PROBERS; i++) {
            members.nextProbe().ifPresent(m -> network.send(address(m), probe(false)));
        }
    }

    @Override
    public void close() {
        closed = true;
    }

    private void join() {
        seeds.forEach(this::join);
    }

    private void join(final InetSocketAddress seed) {
        network.request(seed, probe(true), timing.timeout())
                .thenAccept(r -> r.ifPresent(e -> mergeProbe(seed, e.getProbe())));
    }

    /** An error would cancel the periodic task, and this VM would probe no other any more. */
    private void runPeriod() {
        try {
            probeNext();
        } catch (final RuntimeException e) {
            LOG.log(System.Logger.Level.WARNING, "probe failed", e);
        }
    }

    private void probeNext() {
        if (closed) {
            return;
        }
        members.expire().forEach(listener::onMember);
        final Optional<Member> target = members.nextProbe();
        if (target.isPresent()) {
            probe(target.get());
        } else {
            join();
        }
        // After a long network partition each side has marked the other as dead and no longer
        // probes it. Joining a random seed occasionally reconnects them.
        if (!seeds.isEmpty() && random.nextInt(20) == 0) {
            join(seeds.get(random.nextInt(seeds.size())));
        }
    }

    private void probe(final Member target) {
        final InetSocketAddress address = address(target);
        network.request(address, probe(false), timing.timeout())
                .thenAccept(
                        reply -> {
                            if (reply.isPresent()) {
                                mergeProbe(address, reply.get().getProbe());
                            } else {
                                probeIndirectly(target);
                            }
                        });
    }

    private void probeIndirectly(final Member target) {
        final List<Member> probers = members.indirectProbers(target.id(), INDIRECT_PROBERS);
        final Envelope.Builder body =
                Envelope.newBuilder()
                        .setProbeRequest(ProbeRequest.newBuilder().setTarget(target.id().value()));
        final List<CompletableFuture<Boolean>> results = new ArrayList<>();
        for (final Member prober : probers) {
            results.add(
                    network.request(address(prober), body.clone(), timing.timeout().multipliedBy(2))
                            .thenApply(r -> r.filter(e -> e.getDone().getAccepted()).isPresent()));
        }
        CompletableFuture.allOf(results.toArray(new CompletableFuture<?>[0]))
                .thenRun(
                        () -> {
                            if (results.stream().noneMatch(r -> r.join())) {
                                members.suspect(target.id()).ifPresent(listener::onMember);
                            }
                        });
    }

    private void onProbe(final Probe probe, final Consumer<Envelope.Builder> reply) {
        mergeMembers(probe);
        final Optional<Member> sender =
                probe.getMembersCount() == 0
                        ? Optional.empty()
                        : members.find(VmId.of(probe.getMembers(0).getId()));
        final Envelope.Builder replyBody = probe.getJoining() ? fullMemberTable() : probe(false);
        // A sender marked as suspect or dead here must receive that state to refute it. Otherwise
        // it is never probed again and gets no duties in its data centre, although it serves
        // requests.
        sender.filter(m -> m.state().compareTo(Member.State.SUSPECT) >= 0)
                .ifPresent(m -> replyBody.getProbeBuilder().addMembers(PeerCodec.encode(m)));
        reply.accept(replyBody);
        sender.ifPresent(m -> compareDigests(address(m), probe));
    }

    private void onProbeRequest(
            final ProbeRequest request, final Consumer<Envelope.Builder> reply) {
        final Optional<InetSocketAddress> target = address(VmId.of(request.getTarget()));
        if (target.isEmpty()) {
            reply.accept(done(false));
            return;
        }
        network.request(target.get(), probe(false), timing.timeout())
                .thenAccept(r -> reply.accept(done(r.isPresent())));
    }

    private void onObjects(final Envelope message) {
        final List<StoredObject> accepted =
                configuration.merge(PeerCodec.decode(message.getObjects()));
        if (accepted.isEmpty()) {
            return;
        }
        listener.onConfiguration(accepted);
        if (!isOwnDataCentre(message.getSender())) {
            push(accepted, false);
        }
    }

    private void onPull(final Pull pull, final Consumer<Envelope.Builder> reply) {
        if (pull.getHalts()) {
            reply.accept(Envelope.newBuilder().setHalts(PeerCodec.encode(halts)));
            return;
        }
        reply.accept(
                Envelope.newBuilder()
                        .setObjects(
                                PeerCodec.encode(
                                        configuration.since(Revision.of(pull.getSince())))));
    }

    private void onHalts(final Envelope message) {
        if (mergeHalts(message.getHalts()) && !isOwnDataCentre(message.getSender())) {
            pushHalts(false);
        }
    }

    private boolean mergeHalts(final Halts message) {
        final boolean changed = PeerCodec.merge(message, halts);
        if (changed) {
            listener.onHalts();
        }
        return changed;
    }

    private void mergeProbe(final InetSocketAddress from, final Probe theirs) {
        mergeMembers(theirs);
        compareDigests(from, theirs);
    }

    private void mergeMembers(final Probe probe) {
        final List<Member> received = PeerCodec.decode(probe.getMembersList());
        members.merge(received).forEach(listener::onMember);
    }

    private void compareDigests(final InetSocketAddress from, final Probe theirs) {
        final Digest ours = configuration.digest();
        final Revision highest = Revision.of(theirs.getHighestRevision());
        if (highest.isAfter(ours.highest())) {
            pull(from, ours.highest());
        } else if (theirs.getConfigurationHash() != ours.hash() && highest.equals(ours.highest())) {
            // Equal highest revisions with different hashes: one VM missed an older change.
            pull(from, Revision.NONE);
        }
        if (theirs.getHaltsHash() != halts.hash() && theirs.getHaltsHash() != 0) {
            pullHalts(from);
        }
    }

    private void pull(final InetSocketAddress from, final Revision since) {
        final Envelope.Builder body =
                Envelope.newBuilder().setPull(Pull.newBuilder().setSince(since.value()));
        network.request(from, body, timing.period().multipliedBy(2))
                .thenAccept(
                        r ->
                                r.ifPresent(
                                        e -> {
                                            final List<StoredObject> accepted =
                                                    configuration.merge(
                                                            PeerCodec.decode(e.getObjects()));
                                            if (!accepted.isEmpty()) {
                                                listener.onConfiguration(accepted);
                                            }
                                        }));
    }

    private void pullHalts(final InetSocketAddress from) {
        final Envelope.Builder body =
                Envelope.newBuilder().setPull(Pull.newBuilder().setHalts(true));
        network.request(from, body, timing.period().multipliedBy(2))
                .thenAccept(r -> r.ifPresent(e -> mergeHalts(e.getHalts())));
    }

    private void push(final List<StoredObject> objects, final boolean includeRemote) {
        for (int from = 0; from < objects.size(); from += MAX_OBJECTS_PER_PUSH) {
            final List<StoredObject> batch =
                    objects.subList(from, Math.min(objects.size(), from + MAX_OBJECTS_PER_PUSH));
            final Envelope.Builder body = Envelope.newBuilder().setObjects(PeerCodec.encode(batch));
            pushTargets(includeRemote).forEach(a -> network.send(a, body.clone()));
        }
    }

    private void pushHalts(final boolean includeRemote) {
        final Envelope.Builder body = Envelope.newBuilder().setHalts(PeerCodec.encode(halts));
        pushTargets(includeRemote).forEach(a -> network.send(a, body.clone()));
    }

    private List<InetSocketAddress> pushTargets(final boolean includeRemote) {
        final List<InetSocketAddress> targets = new ArrayList<>();
        for (final VmId id : members.dutyVms()) {
            members.find(id).ifPresent(m -> targets.add(address(m)));
        }
        if (includeRemote) {
            for (final List<Member> candidates : members.remoteMembers().values()) {
                final List<Member> shuffled = new ArrayList<>(candidates);
                Collections.shuffle(shuffled, new Random(random.nextLong()));
                targets.add(address(shuffled.get(0)));
            }
        }
        return targets;
    }

    private boolean isOwnDataCentre(final String sender) {
        return members.find(VmId.of(sender))
                .filter(m -> m.dataCentre().equals(members.self().dataCentre()))
                .isPresent();
    }

    private Envelope.Builder probe(final boolean joining) {
        final Probe.Builder builder = digests().setJoining(joining);
        builder.addMembers(PeerCodec.encode(members.self()));
        members.nextUpdates().stream()
                .filter(m -> !m.id().equals(members.self().id()))
                .forEach(m -> builder.addMembers(PeerCodec.encode(m)));
        return Envelope.newBuilder().setProbe(builder);
    }

    private Envelope.Builder fullMemberTable() {
        final Probe.Builder builder = digests();
        members.all().forEach(m -> builder.addMembers(PeerCodec.encode(m)));
        return Envelope.newBuilder().setProbe(builder);
    }

    private Probe.Builder digests() {
        final Digest digest = configuration.digest();
        return Probe.newBuilder()
                .setHighestRevision(digest.highest().value())
                .setConfigurationHash(digest.hash())
                .setHaltsHash(halts.hash());
    }

    private static Envelope.Builder done(final boolean accepted) {
        return Envelope.newBuilder().setDone(Done.newBuilder().setAccepted(accepted));
    }

    private static InetSocketAddress address(final Member member) {
        return new InetSocketAddress(member.host(), member.port());
    }
}
