package org.fennelstage.member;

import java.util.Objects;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;

/**
 * What is believed of one entry VM.
 *
 * <p>Law: of two beliefs the one with the higher incarnation counts, and within an incarnation the
 * worse state. Immutable and thread-safe.
 *
 * @param id the VM
 * @param dataCentre where it stands
 * @param host its IP address
 * @param port its port for peers
 * @param incarnation rises when the VM restarts or contradicts a wrong belief about itself
 * @param state whether it takes part
 */
public record Member(
        VmId id, DataCentreId dataCentre, String host, int port, long incarnation, State state) {

    /** Whether a VM takes part; later constants are worse. */
    public enum State {
        ALIVE,
        /** Goes on with what it has but takes no duties. */
        LEAVING,
        /** Did not answer; believed dead unless it contradicts in time. */
        SUSPECT,
        DEAD
    }

    public Member {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(state, "state is null");
    }

    /**
     * Tells whether this belief replaces another about the same VM.
     *
     * @param other the other
     * @return true if this one counts
     */
    public boolean supersedes(final Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }

    /**
     * Returns this belief with another state.
     *
     * @param next the state
     * @return the belief
     */
    public Member withState(final State next) {
        return new Member(id, dataCentre, host, port, incarnation, next);
    }

    Member withIncarnation(final long next) {
        return new Member(id, dataCentre, host, port, next, state);
    }
}
