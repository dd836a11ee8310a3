package org.fennelstage.fleet;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.time.MonotonicClock;

/**
 * The data centres that operators are emptying: their workers get nothing new until they are taken
 * back.
 *
 * <p>A store that comes back from an older copy may have lost an evacuation, or hold one that has
 * ended. Operators write again what it lost, but until then a VM that took the copy at its word
 * would send requests to workers that are about to be switched off. So what was in force before
 * stays in force until {@link #settle}; an evacuation that the copy still holds is obeyed, which
 * costs its data centre's capacity until operators end it again.
 *
 * <p>Law: after {@code begin(dc)}, {@code includes(dc)} holds until {@code end(dc)}, or until a
 * list that lacks it is taken while nothing is unsettled. Not thread-safe.
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
    private long heardMillis;

    private Evacuations(final MonotonicClock clock) {
        this.clock = clock;
        this.heardMillis = clock.millis();
    }

    /**
     * Returns evacuations of which none is in force.
     *
     * @param clock the clock
     * @return the evacuations
     */
    public static Evacuations empty(final MonotonicClock clock) {
        return new Evacuations(Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Notes that a data centre is to be emptied.
     *
     * @param dataCentre the data centre
     * @return false if that was known
     */
    public boolean begin(final DataCentreId dataCentre) {
        listed.add(Objects.requireNonNull(dataCentre, "dataCentre is null"));
        return inForce.add(dataCentre);
    }

    /**
     * Notes that a data centre is taken back.
     *
     * @param dataCentre the data centre
     * @return false if it was not being emptied
     */
    public boolean end(final DataCentreId dataCentre) {
        listed.remove(Objects.requireNonNull(dataCentre, "dataCentre is null"));
        return inForce.remove(dataCentre);
    }

    /**
     * Takes a complete list.
     *
     * @param dataCentres all that are to be emptied
     * @return those that are taken back by it
     */
    public Set<DataCentreId> replaceAll(final Set<DataCentreId> dataCentres) {
        listed.clear();
        listed.addAll(dataCentres);
        inForce.addAll(dataCentres);
        return unsettled ? Set.of() : endUnlisted();
    }

    /** Notes that the store has come back from an older copy. */
    public void onStoreRestored() {
        unsettled = true;
    }

    /**
     * Takes the store at its word again, after the time that operators need to write again.
     *
     * @return those that are taken back by it
     */
    public Set<DataCentreId> settle() {
        unsettled = false;
        return endUnlisted();
    }

    /** Notes that the store has told all there is. */
    public void onStoreRead() {
        heardMillis = clock.millis();
    }

    /**
     * Tells whether workers of a data centre get nothing new.
     *
     * @param dataCentre the data centre
     * @return true while it is being emptied
     */
    public boolean includes(final DataCentreId dataCentre) {
        return inForce.contains(dataCentre);
    }

    /**
     * Returns how many data centres are being emptied.
     *
     * @return the count
     */
    public int size() {
        return inForce.size();
    }

    /**
     * Returns how old this knowledge is.
     *
     * @return milliseconds since the store was last heard of it
     */
    public long ageMillis() {
        return clock.millis() - heardMillis;
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
