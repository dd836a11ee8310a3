package org.fennelstage.route;

import java.util.Optional;
import java.util.UUID;
import org.fennelstage.id.SessionId;
import org.fennelstage.id.VersionId;
import org.fennelstage.session.KeyRing;
import org.fennelstage.session.Session;
import org.fennelstage.session.SessionTokens;
import org.fennelstage.team.Team;

/** Creates the session tokens that are sent with responses. Stateless and thread-safe. */
final class SessionTokenIssuer {

    private SessionTokenIssuer() {}

    /**
     * Returns the token for the next request of the session, empty if there is no session. The
     * token of an existing session is signed again with the current key, so that sessions survive
     * key rotation.
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
