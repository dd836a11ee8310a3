package org.fennelstage.bench.engine;

/**
 * The arrival rate, size, time limits and value of one kind of request. Immutable and thread-safe.
 *
 * @param name the name in printed results
 * @param requestsPerSecond the mean arrival rate; requests per second
 * @param sharedTokens the length of the shared prompt part; tokens
 * @param meanOwnTokens the mean length of the rest of the prompt; tokens
 * @param meanOutputTokens the mean length of the output; tokens
 * @param sharedParts the number of different shared prompt parts
 * @param objectiveMillis the latency objective for the first token; milliseconds
 * @param deadlineMillis the latest end of the response after the arrival; milliseconds
 * @param value the value of a good answer within the latency objective
 */
public record RequestKind(
        String name,
        double requestsPerSecond,
        int sharedTokens,
        int meanOwnTokens,
        int meanOutputTokens,
        int sharedParts,
        long objectiveMillis,
        long deadlineMillis,
        double value) {}
