package org.fennelstage.policy;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** A routing mechanism that can be disabled to measure its effect. Immutable and thread-safe. */
public enum Mechanism {
    /** VMs report their load on each backend server to peers, and placement considers it. */
    LOAD_REPORTS,
    /** Requests prefer backend servers whose prompt cache holds a part of their prompt. */
    MEMORY_AFFINITY,
    /** Requests go to the smallest model first. */
    SMALL_FIRST,
    /** Models between the smallest and the largest are used where they are likely to suffice. */
    MIDDLE_MODELS,
    /** Requests that no backend server can start in time are rejected immediately. */
    EARLY_REFUSAL,
    /** A backend server whose responses all stall together is treated as unresponsive early. */
    STALL_WATCH,
    /** VMs report backend servers that they could not reach to their peers. */
    PEER_NEWS,
    /** One VM per data centre calls the store for its peers. */
    SHARED_CALLS,
    /** Requests to backend servers carry their priority. */
    URGENCY,
    /** Requests to a saturated backend server need a permit from the VM that counts them. */
    PERMITS,
    /** Backend servers that fail more often than others by the responses to all VMs are avoided. */
    OUTLIER_DETECTION,
    /** Permits for a saturated backend server are shared by priority and team. */
    FAIR_ADMISSION,
    /** Placement considers that backend servers of one service differ in speed. */
    SERVER_SPEEDS,
    /** A VM that starts while the store is unavailable to it uses the state of another VM. */
    STATE_COPIES,
    /** A new version is tested under load before its rollout is completed. */
    LOAD_TESTS;

    /**
     * Returns the name on the command line.
     *
     * @return the name in lower case, with hyphens
     */
    public String option() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a mechanism by its name on the command line.
     *
     * @param option the name on the command line
     * @return the mechanism; empty if the name is unknown
     */
    public static Optional<Mechanism> find(final String option) {
        return Arrays.stream(values()).filter(m -> m.option().equals(option)).findFirst();
    }

    /**
     * Returns all names on the command line.
     *
     * @return the names, separated by commas
     */
    public static String options() {
        return Arrays.stream(values()).map(Mechanism::option).collect(Collectors.joining(","));
    }
}
