package org.fennelstage.bench.engine;

/**
 * A kind of requests. Immutable and thread-safe.
 *
 * @param name its name
 * @param perSecond how many arrive in a second
 * @param sharedTokens the part of the prompt that requests on one subject share
 * @param ownTokens the mean of the rest of the prompt
 * @param outputTokens the mean of the answer
 * @param subjects how many subjects there are
 * @param objectiveMillis time to the first token within which an answer is in time
 * @param deadlineMillis how long callers wait for the whole answer
 * @param worth what an answer in time is worth; a late one has a third of it
 */
public record Kind(
        String name,
        double perSecond,
        int sharedTokens,
        int ownTokens,
        int outputTokens,
        int subjects,
        long objectiveMillis,
        long deadlineMillis,
        double worth) {}
