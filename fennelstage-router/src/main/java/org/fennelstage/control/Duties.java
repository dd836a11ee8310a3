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
 * Determines which VM of the data centre has a duty (a task that one VM performs for all), and
 * sends messages to it.
 *
 * <p>Two VMs may have the same duty for a while, until their membership views agree; every duty
 * must be safe under that. Thread-safe.
 */
public final class Duties {

    private final MemberTable members;
    private final PeerGroup group;
    private final PeerNetwork network;

    /**
     * Creates the view of duties of this VM.
     *
     * @param members the known VMs
     * @param group resolves addresses of VMs
     * @param network sends messages
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
     * @param duty the name of the duty
     * @return the VM, empty if there is none
     */
    public Optional<VmId> holder(final String duty) {
        return Rendezvous.choose(duty, members.dutyVms());
    }

    /**
     * Returns whether this VM has a duty.
     *
     * @param duty the name of the duty
     * @return true if this VM has the duty
     */
    public boolean isMine(final String duty) {
        return holder(duty).filter(self()::equals).isPresent();
    }

    /**
     * Returns whether this VM is one of the VMs that have a shared duty.
     *
     * @param duty the name of the duty
     * @param count the number of VMs that have it
     * @return true if this VM is one of them
     */
    public boolean isAmongFirst(final String duty, final int count) {
        final List<VmId> ordered = Rendezvous.rank(duty, members.dutyVms());
        return ordered.subList(0, Math.min(count, ordered.size())).contains(self());
    }

    /**
     * Returns the other VMs of the data centre in the order in which they take over a duty.
     *
     * @param duty the name of the duty
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
     * @param to the receiver
     * @param body the message
     * @param timeout the maximum wait for the reply
     * @return the reply, empty if the address is unknown or no reply arrived in time
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
     * @param to the receiver
     * @param body the message
     */
    public void send(final VmId to, final Envelope.Builder body) {
        group.address(to).ifPresent(a -> network.send(a, body));
    }
}
