package org.fennelstage.attempt;

/**
 * How long the workers of one service take to begin an answer, by the length of the prompt, and how
 * long silence is to be borne.
 *
 * <p>Not thread-safe.
 */
public final class LatencyEstimator {

    /** Weight of one answer in the average; about the last twenty count. */
    private static final double WEIGHT = 0.05;

    /**
     * Fixed cost of an answer, in tokens of prompt; keeps short prompts from dividing by little.
     */
    private static final int FIXED_TOKENS = 500;

    /**
     * Time to the first byte assumed before any answer; milliseconds per token, on the long side.
     */
    private static final double FIRST_GUESS_MILLIS = 0.1;

    /**
     * Silence that is always borne; milliseconds. Engines read long prompts of others between two
     * events, which takes some hundred milliseconds at full load.
     */
    private static final long FLOOR_MILLIS = 700;

    /**
     * Times the usual time to a first byte that are borne: load varies by a factor of two to three.
     */
    private static final double FACTOR = 4;

    /**
     * Weight of an answer that began sooner than usual in the time that reading alone takes, and of
     * one that began later: those that waited behind others tell little of it. The estimate settles
     * where about a tenth of the answers are below it.
     */
    private static final double SOONER_WEIGHT = 0.1;

    private static final double LATER_WEIGHT = 0.01;

    /** Time that a request keeps its place, before any has ended; milliseconds. */
    private static final double FIRST_GUESS_ANSWER_MILLIS = 100;

    private static final int ANSWERS_TO_KNOW = 10;

    private int answers;
    private double millisPerToken = FIRST_GUESS_MILLIS;
    private double prefillMillisPerToken = FIRST_GUESS_MILLIS;
    private double answerMillis = FIRST_GUESS_ANSWER_MILLIS;

    /**
     * Notes the time to the first byte of an answer.
     *
     * @param millis the time
     * @param promptTokens the length of the prompt; zero for a plain service
     */
    public void onFirstByte(final long millis, final int promptTokens) {
        final double observed = millis / (double) (promptTokens + FIXED_TOKENS);
        millisPerToken += WEIGHT * (observed - millisPerToken);
        answers++;
        final double usual = observed < prefillMillisPerToken ? SOONER_WEIGHT : LATER_WEIGHT;
        prefillMillisPerToken +=
                Math.max(usual, 1.0 / answers) * (observed - prefillMillisPerToken);
    }

    /**
     * Tells whether enough answers were seen to rely on {@link #prefillMillisPerToken()}. Before, a
     * caller must not be refused for the time that its prompt would take.
     *
     * @return true from the tenth answer on
     */
    public boolean hasEnoughSamples() {
        return answers >= ANSWERS_TO_KNOW;
    }

    /**
     * Notes that a whole answer has come.
     *
     * @param millis the time from its sending to its end
     */
    public void onEnd(final long millis) {
        answerMillis += WEIGHT * (millis - answerMillis);
    }

    /**
     * Returns how long a worker that has nothing else to read takes for a token of a prompt.
     *
     * @return milliseconds
     */
    public double prefillMillisPerToken() {
        return prefillMillisPerToken;
    }

    /**
     * Returns how long a request usually keeps a place at a worker.
     *
     * @return milliseconds
     */
    public double responseMillis() {
        return answerMillis;
    }

    /**
     * Returns how long to wait for the first byte before the worker is taken for dead.
     *
     * @param promptTokens the length of the prompt; zero for a plain service
     * @return milliseconds
     */
    public long firstByteTimeoutMillis(final int promptTokens) {
        return FLOOR_MILLIS + (long) (FACTOR * millisPerToken * (promptTokens + FIXED_TOKENS));
    }

    /**
     * Returns how long to wait for the next byte of an answer that has begun.
     *
     * @param maxPauseMillis the longest pause after which the answer still counts as in time; zero
     *     if there is none
     * @return milliseconds
     */
    public long nextByteTimeoutMillis(final long maxPauseMillis) {
        return Math.max(FLOOR_MILLIS, maxPauseMillis);
    }
}
