package org.fennelstage.team;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * The salted SHA-256 hash of a bearer key; the key itself is not stored.
 *
 * <p>Keys are random, so a single round of hashing suffices. Immutable and thread-safe.
 *
 * @param salt the salt
 * @param hash the hash of salt and key; lower-case hexadecimal
 */
public record KeyHash(String salt, String hash) {

    public KeyHash {
        Objects.requireNonNull(salt, "salt is null");
        Objects.requireNonNull(hash, "hash is null");
    }

    /**
     * Hashes a key.
     *
     * @param salt the salt
     * @param key the key
     * @return the hash
     */
    public static KeyHash ofKey(final String salt, final String key) {
        return new KeyHash(salt, digest(salt, key));
    }

    /**
     * Returns whether a key has this hash; compares in constant time.
     *
     * @param key the key
     * @return true if it matches
     */
    public boolean matches(final String key) {
        return MessageDigest.isEqual(
                hash.getBytes(StandardCharsets.US_ASCII),
                digest(salt, key).getBytes(StandardCharsets.US_ASCII));
    }

    private static String digest(final String salt, final String key) {
        try {
            final MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(salt.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
            return HexFormat.of().formatHex(sha.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
