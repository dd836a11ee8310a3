package org.fennelstage.bill;

import java.util.Objects;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;

/**
 * The record of one complete answer for accounting.
 *
 * <p>Invariant: bills with the same request id are duplicates; readers count each id once.
 * Immutable and thread-safe.
 *
 * @param request the request, which identifies the bill
 * @param team the team that pays
 * @param profile the profile of the request
 * @param version the version that answered
 * @param tokens the number of generated tokens
 * @param cost the price in the operators' unit of account
 * @param atMillis when the response ended; milliseconds since the epoch
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
