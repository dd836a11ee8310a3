package org.fennelstage.rollout;

import java.util.Optional;

/**
 * What the evidence says of a candidate. Immutable and thread-safe.
 *
 * @param halt the signal on which the candidate is found bad, empty if none
 * @param passed whether the present step has seen enough without being found bad
 */
public record Verdict(Optional<Signal> halt, boolean passed) {}
