package org.fennelstage.canary;

import java.util.Map;
import java.util.Objects;
import org.fennelstage.history.Position;
import org.fennelstage.id.ServiceName;

/**
 * What one VM has seen of the new version of a rollout. Immutable and thread-safe.
 *
 * @param service the service
 * @param target the new version
 * @param position the position at which the sender received the order's present state
 * @param source identifies the process of the sender, which starts from nothing after a restart
 * @param totals what it has seen; measures and routes without responses are left out
 */
public record RolloutEvidence(
        ServiceName service,
        String target,
        Position position,
        long source,
        Map<EvidenceKey, MeasureTotals> totals) {

    public RolloutEvidence {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(position, "position is null");
        totals = Map.copyOf(totals);
    }
}
