package org.fennelstage.rollout;

import java.util.Optional;

/**
 * The decision on a rollout that follows from the evidence. Immutable and thread-safe.
 *
 * @param halt the signal on which the new version is bad, empty if none
 * @param passed whether the evidence shows that the new version is good enough for the next step
 */
public record Verdict(Optional<Signal> halt, boolean passed) {}
