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
 * Encodes sessions as signed tokens and decodes them. Any VM in any data centre can verify a token
 * without a lookup, also after the VM that opened the session has stopped or while the store is
 * unavailable.
 *
 * <p>Invariant: {@code verify(ring, sign(ring, s))} returns {@code s}; any other text is rejected.
 * Stateless and thread-safe.
 */
public final class SessionTokens {

    private static final String ALGORITHM = "HmacSHA256";
    private static final String SEPARATOR = "~";
    private static final int FIELDS = 5;

    private SessionTokens() {}

    /**
     * Encodes a session as a token signed with the current key.
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
     * Verifies and decodes a token.
     *
     * @param ring the keys
     * @param token the token
     * @return the session
     * @throws InvalidTokenException if the token is malformed or not signed by a key of the ring
     */
    public static Session verify(final KeyRing ring, final String token)
            throws InvalidTokenException {
        final int dot = token.indexOf('.');
        if (dot < 0) {
            throw new InvalidTokenException("malformed session token: no signature");
        }
        final String body = token.substring(0, dot);
        final String[] fields = decode(body);
        final String secret = ring.secrets().get(fields[0]);
        if (secret == null) {
            throw new InvalidTokenException("session token signed by an unknown key");
        }
        final byte[] expected = mac(secret, body).getBytes(StandardCharsets.US_ASCII);
        final byte[] actual = token.substring(dot + 1).getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(expected, actual)) {
            throw new InvalidTokenException("session token has an invalid signature");
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
            throw new InvalidTokenException("malformed session token: not base64url");
        }
        final String[] fields = plain.split(SEPARATOR, -1);
        if (fields.length != FIELDS) {
            throw new InvalidTokenException(
                    "malformed session token: expected "
                            + FIELDS
                            + " fields, found "
                            + fields.length);
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
            throw new IllegalStateException(
                    "cannot compute " + ALGORITHM + ", which every Java platform supports", e);
        }
    }
}
