package org.fennelstage.ctl;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.id.VmId;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.MalformedValueException;
import org.fennelstage.objects.VmReport;

/** Reads from the stored VM reports which configuration revision each VM uses. Not thread-safe. */
final class VmStatusReader {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
    private static final String DEAD_STATE = "dead";

    private final BlockingStore store;
    private final InstantSource clock;

    VmStatusReader(final BlockingStore store, final InstantSource clock) {
        this.store = store;
        this.clock = clock;
    }

    /**
     * Returns the state of each VM according to the latest report on it.
     *
     * @return the states by VM
     * @throws CommandException if the object API is unavailable or a report is malformed
     */
    Map<VmId, VmReport.VmState> states() throws CommandException {
        final Map<VmId, VmReport.VmState> states = new HashMap<>();
        final Map<VmId, Long> reportTimes = new HashMap<>();
        for (final StoredObject object : store.list(Keys.STATUS)) {
            if (object.value().isEmpty()) {
                continue;
            }
            try {
                final VmReport report = Json.read(object.value().get(), VmReport.class);
                report.vms()
                        .forEach(
                                (vm, state) -> {
                                    if (reportTimes.getOrDefault(vm, -1L) < report.atMillis()) {
                                        reportTimes.put(vm, report.atMillis());
                                        states.put(vm, state);
                                    }
                                });
            } catch (final MalformedValueException e) {
                throw new CommandException(ExitCode.REFUSED, e.getMessage());
            }
        }
        return states;
    }

    /**
     * Waits until every VM that is not reported as dead uses a revision or a newer one.
     *
     * @param revision the revision
     * @param limit the longest wait
     * @return the number of VMs that use it when the wait ends
     * @throws CommandException if the object API is unavailable or a report is malformed
     */
    RevisionCount awaitRevision(final Revision revision, final Duration limit)
            throws CommandException {
        final long deadline = clock.millis() + limit.toMillis();
        while (true) {
            final RevisionCount count = count(revision);
            if ((count.alive() > 0 && count.updated() == count.alive())
                    || clock.millis() >= deadline) {
                return count;
            }
            sleep();
        }
    }

    private RevisionCount count(final Revision revision) throws CommandException {
        int updated = 0;
        int alive = 0;
        for (final VmReport.VmState state : states().values()) {
            if (state.state().equals(DEAD_STATE)) {
                continue;
            }
            alive++;
            updated += state.revision() >= revision.value() ? 1 : 0;
        }
        return new RevisionCount(updated, alive);
    }

    private static void sleep() throws CommandException {
        try {
            Thread.sleep(POLL_INTERVAL.toMillis());
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.UNKNOWN, "interrupted while waiting for the VMs");
        }
    }

    /**
     * The number of VMs that use a revision.
     *
     * @param updated the number of living VMs that use the revision or a newer one
     * @param alive the number of VMs that are not reported as dead
     */
    record RevisionCount(int updated, int alive) {}
}
