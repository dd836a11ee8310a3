package org.fennelstage.member;

import java.util.Objects;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;

/**
 * A membership record: the address and state of one VM.
 *
 * <p>Invariant: of two records of one VM, the one with the higher incarnation supersedes the other;
 * within an incarnation, the one with the worse state does. Immutable and thread-safe.
 *
 * @param id the id of the VM
 * @param dataCentre the data centre of the VM
 * @param host the IP address
 * @param port the port for peer messages
 * @param incarnation a number that rises when the VM restarts or refutes a wrong record of itself
 * @param state the state of the VM
 */
public record Member(
        VmId id, DataCentreId dataCentre, String host, int port, long incarnation, State state) {

    private static final int MAX_PORT = 65_535;

    /** The state of a VM, from best to worst. */
    public enum State {
        ALIVE,
        /** Draining: finishes its requests and takes no duties. */
        LEAVING,
        /** Did not respond to probes; declared dead unless it refutes this in time. */
        SUSPECT,
        DEAD
    }

    /**
     * Creates a record.
     *
     * @throws IllegalArgumentException if the address cannot be one: it would fail where it is used
     */
    public Member {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(state, "state is null");
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port " + port + " of " + id);
        }
    }

    /**
     * Returns whether this record supersedes another of the same VM.
     *
     * @param other the other record
     * @return true if this record supersedes the other
     */
    public boolean supersedes(final Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }

    /**
     * Returns a copy of this record with another state.
     *
     * @param next the state
     * @return the copy
     */
    public Member withState(final State next) {
        return new Member(id, dataCentre, host, port, incarnation, next);
    }

    Member withIncarnation(final long next) {
        return new Member(id, dataCentre, host, port, next, state);
    }
}
