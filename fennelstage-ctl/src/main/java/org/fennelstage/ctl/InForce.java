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

/** Reads from the VMs' reports which configuration is in force where. Not thread-safe. */
final class InForce {

    private static final Duration POLL = Duration.ofMillis(200);
    private static final String DEAD = "dead";

    private final Store store;
    private final InstantSource clock;

    InForce(final Store store, final InstantSource clock) {
        this.store = store;
        this.clock = clock;
    }

    /**
     * Returns the latest report on each VM.
     *
     * @return the states by VM
     * @throws CommandException if the object API cannot be reached
     */
    Map<VmId, VmReport.VmState> states() throws CommandException {
        final Map<VmId, VmReport.VmState> states = new HashMap<>();
        final Map<VmId, Long> times = new HashMap<>();
        for (final StoredObject object : store.list(Keys.STATUS)) {
            if (object.value().isEmpty()) {
                continue;
            }
            try {
                final VmReport report = Json.read(object.value().get(), VmReport.class);
                report.vms()
                        .forEach(
                                (vm, state) -> {
                                    if (times.getOrDefault(vm, -1L) < report.atMillis()) {
                                        times.put(vm, report.atMillis());
                                        states.put(vm, state);
                                    }
                                });
            } catch (final MalformedValueException e) {
                throw new CommandException(Exit.REFUSED, e.getMessage());
            }
        }
        return states;
    }

    /**
     * Waits until a revision is in force on all VMs that are believed alive.
     *
     * @param revision the revision
     * @param limit the longest wait
     * @return how many VMs have it and how many there are
     * @throws CommandException if the object API cannot be reached
     */
    Count await(final Revision revision, final Duration limit) throws CommandException {
        final long deadline = clock.millis() + limit.toMillis();
        while (true) {
            final Count count = count(revision);
            if ((count.all() > 0 && count.have() == count.all()) || clock.millis() >= deadline) {
                return count;
            }
            pause();
        }
    }

    private Count count(final Revision revision) throws CommandException {
        int have = 0;
        int all = 0;
        for (final VmReport.VmState state : states().values()) {
            if (state.state().equals(DEAD)) {
                continue;
            }
            all++;
            have += state.revision() >= revision.value() ? 1 : 0;
        }
        return new Count(have, all);
    }

    private static void pause() throws CommandException {
        try {
            Thread.sleep(POLL.toMillis());
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(Exit.UNKNOWN, "interrupted");
        }
    }

    /**
     * How many VMs have a revision in force.
     *
     * @param have those that have it
     * @param all those that are believed alive
     */
    record Count(int have, int all) {}
}
