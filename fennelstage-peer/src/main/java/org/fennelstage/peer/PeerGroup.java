package org.fennelstage.peer;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
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
 * Keeps the members, the configuration and the halts of this VM in step with those of others.
 *
 * <p>A change is pushed at once to the whole own data centre and to one VM of each other; a VM that
 * hears it first in its data centre pushes it on there. Each probe and its answer carry digests, so
 * whatever a push missed is pulled within a few periods. Nothing here needs the platform.
 *
 * <p>Invariant: the messages a VM sends without cause do not grow with the number of VMs.
 * Thread-safe; the tables it keeps in step have monitors of their own and none is held while
 * another is taken.
 */
public final class PeerGroup implements AutoCloseable {

    private static final int HELPERS = 2;
    private static final int PUSH_BATCH = 200;

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

    /** Hears what changed. Called on event loops; must not block. */
    public interface Listener {

        /**
         * Configuration objects are newer than before.
         *
         * @param changed the objects
         */
        void onConfiguration(List<StoredObject> changed);

        /**
         * A VM came, went, or changed state.
         *
         * @param member the new belief
         */
        void onMember(Member member);

        /** More candidates are known to be bad. */
        void onHalts();
    }

    /**
     * What a group works on.
     *
     * @param members the VMs
     * @param configuration the configuration
     * @param halts the halted roll-outs
     */
    public record Tables(MemberTable members, ConfigurationTable configuration, HaltTable halts) {}

    /**
     * Creates a group that does nothing until {@link #start}.
     *
     * @param tables what it keeps in step
     * @param loop runs its timers
     * @param timing how often it talks
     * @param random chooses among peers
     * @param seeds addresses of VMs to begin with
     * @param listener hears changes
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
     * Begins to talk.
     *
     * @param over the network
     */
    public void start(final PeerNetwork over) {
        network = over;
        join();
        final long period = timing.period().toMillis();
        loop.scheduleWithFixedDelay(
                this::tick, random.nextLong(period) + 1, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes a message if it is one of this group's.
     *
     * @param message the message
     * @param reply sends the answer
     * @return false if the message belongs to someone else
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
     * Merges objects heard from the platform and passes on what is new.
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

    /** Passes on the halts after one was added here. */
    public void publishHalts() {
        listener.onHalts();
        pushHalts(true);
    }

    /**
     * Returns where a VM listens for peers.
     *
     * @param id the VM
     * @return the address, empty if unknown or dead
     */
    public Optional<InetSocketAddress> address(final VmId id) {
        return members.find(id).filter(m -> m.state() != Member.State.DEAD).map(PeerGroup::address);
    }

    /** Tells a few peers that this VM is leaving. */
    public void leave() {
        members.startDraining();
        for (int i = 0; i < HELPERS; i++) {
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
                .thenAccept(r -> r.ifPresent(e -> compare(seed, e.getProbe())));
    }

    private void tick() {
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
        // A data centre that was cut off for long has declared the others dead and would never
        // probe them again; the seeds are asked now and then so that both sides find each other.
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
                                compare(address, reply.get().getProbe());
                            } else {
                                probeThroughOthers(target);
                            }
                        });
    }

    private void probeThroughOthers(final Member target) {
        final List<Member> helpers = members.indirectProbers(target.id(), HELPERS);
        final Envelope.Builder body =
                Envelope.newBuilder()
                        .setProbeRequest(ProbeRequest.newBuilder().setTarget(target.id().value()));
        final List<java.util.concurrent.CompletableFuture<Boolean>> answers = new ArrayList<>();
        for (final Member helper : helpers) {
            answers.add(
                    network.request(address(helper), body.clone(), timing.timeout().multipliedBy(2))
                            .thenApply(r -> r.filter(e -> e.getDone().getAccepted()).isPresent()));
        }
        java.util.concurrent.CompletableFuture.allOf(
                        answers.toArray(new java.util.concurrent.CompletableFuture<?>[0]))
                .thenRun(
                        () -> {
                            if (answers.stream().noneMatch(a -> a.join())) {
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
        final Envelope.Builder answer = probe.getJoining() ? wholeTable() : probe(false);
        // A VM that was cut off or paused is believed dead here and is not probed any more. Unless
        // it is told so it never contradicts, and stays without duties although it serves.
        sender.filter(m -> m.state().compareTo(Member.State.SUSPECT) >= 0)
                .ifPresent(m -> answer.getProbeBuilder().addMembers(PeerCodec.encode(m)));
        reply.accept(answer);
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

    private void compare(final InetSocketAddress from, final Probe theirs) {
        mergeMembers(theirs);
        compareDigests(from, theirs);
    }

    private void mergeMembers(final Probe probe) {
        final List<Member> beliefs =
                probe.getMembersList().stream().map(PeerCodec::decode).toList();
        members.merge(beliefs).forEach(listener::onMember);
    }

    private void compareDigests(final InetSocketAddress from, final Probe theirs) {
        final Digest ours = configuration.digest();
        final Revision highest = Revision.of(theirs.getHighestRevision());
        if (highest.isAfter(ours.highest())) {
            pull(from, ours.highest());
        } else if (theirs.getConfigurationHash() != ours.hash() && highest.equals(ours.highest())) {
            // Same newest revision but another content: one of us missed an older change.
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

    private void push(final List<StoredObject> objects, final boolean alsoRemote) {
        for (int from = 0; from < objects.size(); from += PUSH_BATCH) {
            final List<StoredObject> batch =
                    objects.subList(from, Math.min(objects.size(), from + PUSH_BATCH));
            final Envelope.Builder body = Envelope.newBuilder().setObjects(PeerCodec.encode(batch));
            targets(alsoRemote).forEach(a -> network.send(a, body.clone()));
        }
    }

    private void pushHalts(final boolean alsoRemote) {
        final Envelope.Builder body = Envelope.newBuilder().setHalts(PeerCodec.encode(halts));
        targets(alsoRemote).forEach(a -> network.send(a, body.clone()));
    }

    private List<InetSocketAddress> targets(final boolean alsoRemote) {
        final List<InetSocketAddress> targets = new ArrayList<>();
        for (final VmId id : members.dutyVms()) {
            members.find(id).ifPresent(m -> targets.add(address(m)));
        }
        if (alsoRemote) {
            for (final List<Member> contacts : members.remoteMembers().values()) {
                final List<Member> shuffled = new ArrayList<>(contacts);
                Collections.shuffle(shuffled, new java.util.Random(random.nextLong()));
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

    private Envelope.Builder wholeTable() {
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
