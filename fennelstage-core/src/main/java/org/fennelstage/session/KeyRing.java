package org.fennelstage.session;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The keys of session tokens: the current key signs, and every key verifies.
 *
 * <p>To rotate keys, add the new key, wait until all VMs have it, make it current, and remove the
 * old key once the longest session has ended. Immutable and thread-safe.
 *
 * @param current the id of the key that signs, empty if there is none
 * @param secrets the secret of each key, by key id
 */
public record KeyRing(Optional<String> current, Map<String, String> secrets) {

    public KeyRing {
        Objects.requireNonNull(current, "current is null");
        secrets = Map.copyOf(secrets);
        if (current.isPresent() && !secrets.containsKey(current.get())) {
            throw new IllegalArgumentException(
                    "current session key '" + current.get() + "' is not in the key ring");
        }
    }

    /**
     * Returns a key ring without keys.
     *
     * @return the key ring
     */
    public static KeyRing empty() {
        return new KeyRing(Optional.empty(), Map.of());
    }

    /**
     * Returns a key ring with one key, which is current.
     *
     * @param id the id of the key
     * @param secret the secret of the key
     * @return the key ring
     */
    public static KeyRing of(final String id, final String secret) {
        return new KeyRing(Optional.of(id), Map.of(id, secret));
    }

    @Override
    public String toString() {
        return "KeyRing[current=" + current + ", keys=" + secrets.keySet() + "]";
    }
}
