package org.fennelstage.fleet;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.time.MonotonicClock;

/**
 * The evacuated data centres, whose backend servers get no new requests.
 *
 * <p>A store that was restored from an older copy may lack an evacuation that is in force, or list
 * one that has ended. To send no requests to backend servers that are about to be switched off,
 * evacuations in force stay so until {@link #settle}, which leaves operators time to write them
 * again. Evacuations that the copy lists are applied.
 *
 * <p>Invariant: after {@code begin(dc)}, {@code includes(dc)} holds until {@code end(dc)}, or until
 * a list without {@code dc} is applied while no restore is unsettled. Not thread-safe.
 *
 * <pre>{@code
 * evacuations.begin(dc);
 * evacuations.includes(dc)  // true
 * }</pre>
 */
public final class Evacuations {

    private final MonotonicClock clock;
    private final Set<DataCentreId> inForce = new HashSet<>();
    private final Set<DataCentreId> listed = new HashSet<>();
    private boolean unsettled;
    private long lastReadMillis;

    private Evacuations(final MonotonicClock clock) {
        this.clock = clock;
        this.lastReadMillis = clock.millis();
    }

    /**
     * Returns an instance without evacuations.
     *
     * @param clock the clock
     * @return the evacuations
     */
    public static Evacuations empty(final MonotonicClock clock) {
        return new Evacuations(Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Records that the evacuation of a data centre started.
     *
     * @param dataCentre the data centre
     * @return false if it was already evacuated
     */
    public boolean begin(final DataCentreId dataCentre) {
        listed.add(Objects.requireNonNull(dataCentre, "dataCentre is null"));
        return inForce.add(dataCentre);
    }

    /**
     * Records that the evacuation of a data centre ended.
     *
     * @param dataCentre the data centre
     * @return false if it was not evacuated
     */
    public boolean end(final DataCentreId dataCentre) {
        listed.remove(Objects.requireNonNull(dataCentre, "dataCentre is null"));
        return inForce.remove(dataCentre);
    }

    /**
     * Applies a complete list from the store.
     *
     * @param dataCentres all evacuated data centres
     * @return those whose evacuation ended by it
     */
    public Set<DataCentreId> replaceAll(final Set<DataCentreId> dataCentres) {
        listed.clear();
        listed.addAll(dataCentres);
        inForce.addAll(dataCentres);
        return unsettled ? Set.of() : endUnlisted();
    }

    /** Records that the store was restored from an older copy. */
    public void onStoreRestored() {
        unsettled = true;
    }

    /**
     * Ends the evacuations that the store does not list. Called when operators have had time to
     * write again what a restored store lacks.
     *
     * @return the data centres whose evacuation ended
     */
    public Set<DataCentreId> settle() {
        unsettled = false;
        return endUnlisted();
    }

    /** Records that the state of the store was read completely. */
    public void onStoreRead() {
        lastReadMillis = clock.millis();
    }

    /**
     * Returns whether a data centre is evacuated.
     *
     * @param dataCentre the data centre
     * @return true if its backend servers get no new requests
     */
    public boolean includes(final DataCentreId dataCentre) {
        return inForce.contains(dataCentre);
    }

    /**
     * Returns the number of evacuated data centres.
     *
     * @return the count
     */
    public int size() {
        return inForce.size();
    }

    /**
     * Returns the time since the evacuations were last read from the store.
     *
     * @return milliseconds
     */
    public long ageMillis() {
        return clock.millis() - lastReadMillis;
    }

    private Set<DataCentreId> endUnlisted() {
        final Set<DataCentreId> ended = new HashSet<>(inForce);
        ended.removeAll(listed);
        inForce.removeAll(ended);
        return ended;
    }

    @Override
    public String toString() {
        return "Evacuations" + inForce;
    }
}
