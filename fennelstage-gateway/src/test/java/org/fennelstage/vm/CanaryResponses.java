package org.fennelstage.vm;

import java.util.Optional;
import org.fennelstage.canary.Canary;
import org.fennelstage.canary.ResponseKind;
import org.fennelstage.id.BackendServerId;

/** Responses of backend servers to requests of one kind. */
final class CanaryResponses {

    private static final ResponseKind KIND = new ResponseKind("drafts", Optional.empty());

    private CanaryResponses() {}

    /** Lets a backend server of a version fail a request. */
    static void fail(final Canary canary, final BackendServerId server, final String version) {
        canary.observe(server, version, KIND, false, true).onEnd(true);
    }
}
