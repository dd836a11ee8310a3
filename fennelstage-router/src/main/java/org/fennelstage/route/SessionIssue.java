package org.fennelstage.route;

import java.util.Optional;
import java.util.UUID;
import org.fennelstage.id.SessionId;
import org.fennelstage.id.VersionId;
import org.fennelstage.session.KeyRing;
import org.fennelstage.session.Session;
import org.fennelstage.session.SessionTokens;
import org.fennelstage.team.Team;

/** Makes the token that an answer carries for its session. Stateless and thread-safe. */
final class SessionIssue {

    private SessionIssue() {}

    /**
     * Returns the token for the next request of the session: a new one if a session begins, and one
     * signed by the current key if it goes on, so that sessions outlive key rotation.
     */
    static Optional<String> token(
            final KeyRing keys,
            final ChatRequest request,
            final Optional<Session> session,
            final Team team,
            final VersionId version) {
        if (session.isPresent()) {
            return SessionTokens.sign(keys, session.get());
        }
        if (request.session().filter(ChatRequest.NEW_SESSION::equals).isEmpty()) {
            return Optional.empty();
        }
        final SessionId id = SessionId.of(UUID.randomUUID().toString());
        return SessionTokens.sign(keys, new Session(id, team.id(), request.profile(), version));
    }
}
