package org.fennelstage.policy;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;

/**
 * The set of enabled mechanisms.
 *
 * <p>Invariant: {@code Policy.all().without(List.of(m))} uses every mechanism except {@code m}.
 * Immutable and thread-safe.
 */
public final class Policy {

    private static final Policy ALL = new Policy(EnumSet.noneOf(Mechanism.class));

    private final Set<Mechanism> disabled;

    private Policy(final Set<Mechanism> disabled) {
        this.disabled = disabled;
    }

    /**
     * Returns the policy with every mechanism enabled.
     *
     * @return the policy
     */
    public static Policy all() {
        return ALL;
    }

    /**
     * Returns this policy with further mechanisms disabled.
     *
     * @param mechanisms the mechanisms to disable
     * @return the policy
     */
    public Policy without(final Collection<Mechanism> mechanisms) {
        final EnumSet<Mechanism> allDisabled = EnumSet.copyOf(disabled);
        allDisabled.addAll(mechanisms);
        return new Policy(allDisabled);
    }

    /**
     * Returns whether a mechanism is enabled.
     *
     * @param mechanism the mechanism
     * @return false if it is disabled
     */
    public boolean uses(final Mechanism mechanism) {
        return !disabled.contains(Objects.requireNonNull(mechanism, "mechanism is null"));
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof Policy policy && policy.disabled.equals(disabled);
    }

    @Override
    public int hashCode() {
        return disabled.hashCode();
    }

    @Override
    public String toString() {
        return disabled.isEmpty() ? "Policy[all]" : "Policy[all except " + disabled + "]";
    }
}
