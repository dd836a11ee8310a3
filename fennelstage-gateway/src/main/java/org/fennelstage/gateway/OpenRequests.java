package org.fennelstage.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The requests of a VM whose response is not complete.
 *
 * <p>Invariant: each is contained from its start to its end. Not thread-safe; confined to the event
 * loop.
 */
final class OpenRequests {

    private final Set<RequestExecution> open = new LinkedHashSet<>();

    void add(final RequestExecution request) {
        open.add(request);
    }

    void remove(final RequestExecution request) {
        open.remove(request);
    }

    int size() {
        return open.size();
    }

    /** Performs an action, which may end requests, with each as a step of its own. */
    void forEach(final Consumer<RequestExecution> action) {
        List.copyOf(open).forEach(request -> request.step(() -> action.accept(request)));
    }
}
