package org.fennelstage.policy;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** A mechanism that can be switched off, so that its worth can be measured by anyone. */
public enum Mechanism {
    /** VMs tell each other what they have at the workers, and place by it. */
    LOAD_REPORTS,
    /** Requests that share a part of their prompt go to the same worker. */
    MEMORY_AFFINITY,
    /** The smallest model is asked first. */
    SMALL_FIRST,
    /** A middle model is asked where it will likely do. */
    MIDDLE_MODELS,
    /** A request that no worker can begin in time is refused at once. */
    EARLY_REFUSAL,
    /** Answers of a worker that stop together speak for all requests there. */
    STALL_WATCH,
    /** VMs tell each other which workers they could not reach. */
    PEER_NEWS,
    /** One VM of a data centre asks the store for all. */
    SHARED_CALLS,
    /** Workers are told how urgent a request is. */
    URGENCY;

    /**
     * Returns the name on the command line.
     *
     * @return lower case, with hyphens
     */
    public String option() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a mechanism.
     *
     * @param option its name on the command line
     * @return the mechanism, empty if there is none of this name
     */
    public static Optional<Mechanism> find(final String option) {
        return Arrays.stream(values()).filter(m -> m.option().equals(option)).findFirst();
    }

    /**
     * Returns all names on the command line.
     *
     * @return the names, with commas between them
     */
    public static String options() {
        return Arrays.stream(values()).map(Mechanism::option).collect(Collectors.joining(","));
    }
}
