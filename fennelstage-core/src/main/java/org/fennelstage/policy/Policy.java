package org.fennelstage.policy;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;

/**
 * The mechanisms in use.
 *
 * <p>Law: {@code Policy.all().without(m).uses(m)} is false, for every other mechanism it is true.
 * Immutable and thread-safe.
 */
public final class Policy {

    private static final Policy ALL = new Policy(EnumSet.noneOf(Mechanism.class));

    private final Set<Mechanism> off;

    private Policy(final Set<Mechanism> off) {
        this.off = off;
    }

    /**
     * Returns the policy that uses every mechanism.
     *
     * @return the policy
     */
    public static Policy all() {
        return ALL;
    }

    /**
     * Returns this policy with some mechanisms switched off.
     *
     * @param mechanisms the mechanisms
     * @return the policy
     */
    public Policy without(final Collection<Mechanism> mechanisms) {
        final EnumSet<Mechanism> more = EnumSet.copyOf(off);
        more.addAll(mechanisms);
        return new Policy(more);
    }

    /**
     * Tells whether a mechanism is in use.
     *
     * @param mechanism the mechanism
     * @return false if it is switched off
     */
    public boolean uses(final Mechanism mechanism) {
        return !off.contains(Objects.requireNonNull(mechanism, "mechanism is null"));
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof Policy policy && policy.off.equals(off);
    }

    @Override
    public int hashCode() {
        return off.hashCode();
    }

    @Override
    public String toString() {
        return off.isEmpty() ? "Policy[all]" : "Policy[all but " + off + "]";
    }
}
