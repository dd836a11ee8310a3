package org.fennelstage.session;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.Objects;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.SessionId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;

/**
 * Signs sessions into tokens and reads them back, so that any VM in any data centre honours a
 * session without a lookup, also after the VM that opened it is gone and with the platform down.
 *
 * <p>Law: {@code verify(ring, sign(ring, s))} is {@code s}; any other text is refused. Stateless
 * and thread-safe.
 */
public final class SessionTokens {

    private static final String ALGORITHM = "HmacSHA256";
    private static final String SEPARATOR = "~";
    private static final int FIELDS = 5;

    private SessionTokens() {}

    /**
     * Signs a session with the current key.
     *
     * @param ring the keys
     * @param session the session
     * @return the token, empty if the ring has no current key
     */
    public static Optional<String> sign(final KeyRing ring, final Session session) {
        Objects.requireNonNull(session, "session is null");
        return ring.current()
                .map(
                        keyId -> {
                            final String body = encode(keyId, session);
                            return body + "." + mac(ring.secrets().get(keyId), body);
                        });
    }

    /**
     * Reads a token.
     *
     * @param ring the keys
     * @param token the token
     * @return the session
     * @throws InvalidTokenException if the token is not one that a key of the ring signed
     */
    public static Session verify(final KeyRing ring, final String token)
            throws InvalidTokenException {
        final int dot = token.indexOf('.');
        if (dot < 0) {
            throw new InvalidTokenException("not a session token");
        }
        final String body = token.substring(0, dot);
        final String[] fields = decode(body);
        final String secret = ring.secrets().get(fields[0]);
        if (secret == null) {
            throw new InvalidTokenException("session token signed by an unknown key");
        }
        final byte[] expected = mac(secret, body).getBytes(StandardCharsets.US_ASCII);
        final byte[] found = token.substring(dot + 1).getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(expected, found)) {
            throw new InvalidTokenException("session token has a wrong signature");
        }
        return new Session(
                SessionId.of(fields[1]),
                TeamId.of(fields[2]),
                ProfileId.of(fields[3]),
                VersionId.parse(fields[4]));
    }

    private static String encode(final String keyId, final Session session) {
        final String plain =
                String.join(
                        SEPARATOR,
                        keyId,
                        session.id().value(),
                        session.team().value(),
                        session.profile().value(),
                        session.version().toString());
        return Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(plain.getBytes(StandardCharsets.UTF_8));
    }

    private static String[] decode(final String body) throws InvalidTokenException {
        final String plain;
        try {
            plain = new String(Base64.getUrlDecoder().decode(body), StandardCharsets.UTF_8);
        } catch (final IllegalArgumentException e) {
            throw new InvalidTokenException("session token is not base64");
        }
        final String[] fields = plain.split(SEPARATOR, -1);
        if (fields.length != FIELDS) {
            throw new InvalidTokenException("session token has a wrong form");
        }
        return fields;
    }

    private static String mac(final String secret, final String body) {
        try {
            final Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
            return Base64.getUrlEncoder()
                    .withoutPadding()
                    .encodeToString(mac.doFinal(body.getBytes(StandardCharsets.US_ASCII)));
        } catch (final NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
