package org.fennelstage.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.fennelstage.member.MemberTable;
import org.fennelstage.member.Rendezvous;
import org.fennelstage.peer.PeerGroup;
import org.fennelstage.peer.PeerNetwork;
import org.fennelstage.peer.generated.Envelope;

/**
 * Tells which VM of the data centre has a duty, and reaches it.
 *
 * <p>Two VMs may believe to have the same duty for a while; every duty is safe under that.
 * Thread-safe.
 */
public final class Duties {

    private final MemberTable members;
    private final PeerGroup group;
    private final PeerNetwork network;

    /**
     * Creates duties.
     *
     * @param members the VMs
     * @param group knows their addresses
     * @param network reaches them
     */
    public Duties(final MemberTable members, final PeerGroup group, final PeerNetwork network) {
        this.members = Objects.requireNonNull(members, "members is null");
        this.group = Objects.requireNonNull(group, "group is null");
        this.network = Objects.requireNonNull(network, "network is null");
    }

    public VmId self() {
        return members.self().id();
    }

    public DataCentreId dataCentre() {
        return members.self().dataCentre();
    }

    public long incarnation() {
        return members.self().incarnation();
    }

    /**
     * Returns the VM that has a duty.
     *
     * @param duty names the duty
     * @return the VM, empty if there is none
     */
    public Optional<VmId> holder(final String duty) {
        return Rendezvous.choose(duty, members.dutyVms());
    }

    /**
     * Tells whether this VM has a duty.
     *
     * @param duty names the duty
     * @return true if it has
     */
    public boolean isMine(final String duty) {
        return holder(duty).filter(self()::equals).isPresent();
    }

    /**
     * Tells whether this VM is among the first for a duty that several may have.
     *
     * @param duty names the duty
     * @param count how many have it
     * @return true if it is
     */
    public boolean isAmongFirst(final String duty, final int count) {
        final List<VmId> rank = Rendezvous.rank(duty, members.dutyVms());
        return rank.subList(0, Math.min(count, rank.size())).contains(self());
    }

    /**
     * Returns the other VMs of the data centre in the order in which they take a duty.
     *
     * @param duty names the duty
     * @return the VMs, first choice first
     */
    public List<VmId> others(final String duty) {
        return Rendezvous.rank(duty, members.dutyVms()).stream()
                .filter(vm -> !vm.equals(self()))
                .toList();
    }

    /**
     * Sends a message to another VM and waits for its reply.
     *
     * @param to the VM
     * @param body the message
     * @param timeout the longest wait
     * @return the reply, empty if none came in time
     */
    public CompletableFuture<Optional<Envelope>> request(
            final VmId to, final Envelope.Builder body, final Duration timeout) {
        final Optional<InetSocketAddress> address = group.address(to);
        return address.map(a -> network.request(a, body, timeout))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }

    /**
     * Sends a message to another VM.
     *
     * @param to the VM
     * @param body the message
     */
    public void send(final VmId to, final Envelope.Builder body) {
        group.address(to).ifPresent(a -> network.send(a, body));
    }
}
