package org.fennelstage.bill;

import java.util.Objects;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;

/**
 * What one request costs its team.
 *
 * <p>Law: two bills of one request are the same bill; whoever reads bills counts each request id
 * once. Immutable and thread-safe.
 *
 * @param request the request, the identity of the bill
 * @param team who pays
 * @param profile what was asked for
 * @param version what answered
 * @param tokens the generated tokens
 * @param cost the price in the operators' unit of account
 * @param atMillis when the answer ended; milliseconds since the epoch
 */
public record Bill(
        RequestId request,
        TeamId team,
        ProfileId profile,
        VersionId version,
        int tokens,
        double cost,
        long atMillis) {

    public Bill {
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(team, "team is null");
        Objects.requireNonNull(profile, "profile is null");
        Objects.requireNonNull(version, "version is null");
    }
}
