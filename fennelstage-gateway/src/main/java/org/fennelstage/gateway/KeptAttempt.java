package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.attempt.AttemptEnd;
import org.fennelstage.id.ModelId;

/**
 * An attempt that is set aside until another backend server has taken the request: what it has sent
 * and sends waits, so that the caller loses nothing if no other one takes it.
 *
 * <p>Immutable; the attempt is confined to the event loop.
 *
 * @param attempt the attempt, which is paused
 * @param end how it ends once another backend server has taken the request
 * @param detail why it is given up, for the log
 * @param model the model that it asked, empty if the caller named it
 */
record KeptAttempt(Attempt attempt, AttemptEnd end, String detail, Optional<ModelId> model) {

    /**
     * The longest time for which a request is at two backend servers. A rejection arrives sooner;
     * what goes on for longer has been taken.
     */
    static final Duration MAX_OVERLAP = Duration.ofMillis(200);

    KeptAttempt {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(end, "end is null");
        Objects.requireNonNull(detail, "detail is null");
        Objects.requireNonNull(model, "model is null");
    }
}
