package org.fennelstage.standin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded LRU cache of prompt prefixes. Not thread-safe. */
final class PrefixCache {

    private final int capacity;
    private final Map<String, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

    PrefixCache(final int capacity) {
        this.capacity = capacity;
    }

    /** Adds a prefix or marks it as recently used; returns whether it was cached. */
    boolean touch(final String prefix) {
        final boolean hit = prefixes.put(prefix, Boolean.TRUE) != null;
        if (prefixes.size() > capacity) {
            final Iterator<String> eldest = prefixes.keySet().iterator();
            eldest.next();
            eldest.remove();
        }
        return hit;
    }
}
