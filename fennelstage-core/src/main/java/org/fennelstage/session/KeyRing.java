package org.fennelstage.session;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The secrets that sign session tokens; the current one signs, all verify.
 *
 * <p>Rotation: add the new key, wait until it is in force everywhere, make it current, and remove
 * the old one after the longest session. Immutable and thread-safe.
 *
 * @param current the id of the key that signs, empty if there is none
 * @param secrets the secrets by key id
 */
public record KeyRing(Optional<String> current, Map<String, String> secrets) {

    public KeyRing {
        Objects.requireNonNull(current, "current is null");
        secrets = Map.copyOf(secrets);
        if (current.isPresent() && !secrets.containsKey(current.get())) {
            throw new IllegalArgumentException("current session key is not in the ring");
        }
    }

    /**
     * Returns a ring without keys.
     *
     * @return the ring
     */
    public static KeyRing empty() {
        return new KeyRing(Optional.empty(), Map.of());
    }

    /**
     * Returns a ring of one key.
     *
     * @param id the key's id
     * @param secret the secret
     * @return the ring
     */
    public static KeyRing of(final String id, final String secret) {
        return new KeyRing(Optional.of(id), Map.of(id, secret));
    }

    @Override
    public String toString() {
        return "KeyRing[current=" + current + ", keys=" + secrets.keySet() + "]";
    }
}
