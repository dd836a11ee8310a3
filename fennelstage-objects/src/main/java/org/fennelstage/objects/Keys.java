package org.fennelstage.objects;

import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.VmId;

/** The keys of objects in the object store. Stateless and thread-safe. */
public final class Keys {

    /** The prefix of declarations, which VMs watch. */
    public static final String CONFIGURATION = "config/";

    /** The prefix of bills. */
    public static final String BILLS = "bills/";

    /** The prefix of claims. */
    public static final String CLAIMS = "claims/";

    /** The prefix of status reports. */
    public static final String STATUS = "status/";

    /** The prefix of the progress of rollouts. */
    public static final String ROLLOUTS = "rollouts/";

    private static final String NUMBER_FORMAT = "%08d";

    private Keys() {}

    /**
     * Returns the key of a declaration.
     *
     * @param kind the kind
     * @param id its id as text
     * @return the key
     */
    public static ObjectKey declaration(final DeclarationKind kind, final String id) {
        return ObjectKey.of("config", kind.directory(), id);
    }

    /**
     * Returns the key of a segment of a slot's claim log.
     *
     * @param slot the slot
     * @param segment the segment's number
     * @return the key
     */
    public static ObjectKey claims(final int slot, final long segment) {
        return new ObjectKey(claimSlot(slot) + String.format(NUMBER_FORMAT, segment));
    }

    /**
     * Returns the prefix of a slot's claim log.
     *
     * @param slot the slot
     * @return the prefix
     */
    public static String claimSlot(final int slot) {
        return CLAIMS + slot + "/";
    }

    /**
     * Returns the key of a segment of bills.
     *
     * @param dataCentre the data centre
     * @param writer the only VM that writes it
     * @param incarnation the writer's incarnation
     * @param segment the segment's number
     * @return the key
     */
    public static ObjectKey bills(
            final DataCentreId dataCentre,
            final VmId writer,
            final long incarnation,
            final long segment) {
        return new ObjectKey(
                BILLS
                        + dataCentre
                        + "/"
                        + writer
                        + "-"
                        + incarnation
                        + "/"
                        + String.format(NUMBER_FORMAT, segment));
    }

    /**
     * Returns the key of a rollout's progress.
     *
     * @param id the rollout
     * @return the key
     */
    public static ObjectKey rollout(final RolloutId id) {
        return new ObjectKey(ROLLOUTS + id);
    }

    /**
     * Returns the key of a data centre's status report.
     *
     * @param dataCentre the data centre
     * @param reporter the VM that reports
     * @return the key
     */
    public static ObjectKey status(final DataCentreId dataCentre, final VmId reporter) {
        return ObjectKey.of("status", dataCentre.value(), reporter.value());
    }
}
