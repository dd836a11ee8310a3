package org.fennelstage.member;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;

/**
 * The VMs known to this VM: all of its own data centre and a few contacts in each other one.
 *
 * <p>Failure detection and dissemination follow the SWIM protocol: in each period one VM is probed,
 * first directly and then indirectly through other VMs. A VM that responds to neither becomes a
 * suspect, and is declared dead unless it refutes this in time. Membership updates are piggybacked
 * on the probes, so the number of messages per VM does not grow with the number of VMs.
 *
 * <p>Invariant: a record is replaced only as {@link Member#supersedes} allows; this VM refutes
 * every record that shows it in a worse state by raising its incarnation. Thread-safe; one monitor
 * guards all state.
 */
public final class MemberTable {

    /** Keeps another data centre reachable while two of its VMs are replaced at once. */
    static final int MAX_CONTACTS_PER_REMOTE_DATA_CENTRE = 3;

    /** The number of peer messages that carry each update. */
    private static final int TRANSMISSIONS_PER_UPDATE = 8;

    private static final int MAX_UPDATES_PER_MESSAGE = 8;

    private final InstantSource clock;
    private final RandomGenerator random;
    private final Duration suspicionTimeout;
    private final Duration deadRetention;
    private final Map<VmId, Entry> others = new HashMap<>();
    private final List<VmId> probeOrder = new ArrayList<>();
    private Member self;
    private int selfTransmissionsLeft = TRANSMISSIONS_PER_UPDATE;

    private static final class Entry {
        private Member member;
        private long sinceMillis;
        private int transmissionsLeft;

        Entry(final Member member, final long sinceMillis) {
            this.member = member;
            this.sinceMillis = sinceMillis;
            this.transmissionsLeft = TRANSMISSIONS_PER_UPDATE;
        }
    }

    private MemberTable(
            final Member self,
            final InstantSource clock,
            final RandomGenerator random,
            final Duration suspicionTimeout) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.suspicionTimeout =
                Objects.requireNonNull(suspicionTimeout, "suspicionTimeout is null");
        this.deadRetention = suspicionTimeout.multipliedBy(20);
    }

    /**
     * Returns a table that holds only this VM.
     *
     * @param self the record of this VM
     * @param clock the clock
     * @param random chooses the VMs to probe
     * @param suspicionTimeout the time within which a suspect must refute its suspicion
     * @return the table
     */
    public static MemberTable of(
            final Member self,
            final InstantSource clock,
            final RandomGenerator random,
            final Duration suspicionTimeout) {
        return new MemberTable(self, clock, random, suspicionTimeout);
    }

    public synchronized Member self() {
        return self;
    }

    /**
     * Merges membership updates from a peer.
     *
     * @param updates the records
     * @return the records that changed this table
     */
    public synchronized List<Member> merge(final Collection<Member> updates) {
        final List<Member> changed = new ArrayList<>();
        for (final Member update : updates) {
            if (update.id().equals(self.id())) {
                refute(update);
            } else if (accept(update)) {
                changed.add(update);
            }
        }
        return changed;
    }

    /**
     * Marks a VM as suspect after it responded to neither direct nor indirect probes.
     *
     * @param id the id of the VM
     * @return the new record, empty if the VM is unknown or was suspect or dead already
     */
    public synchronized Optional<Member> suspect(final VmId id) {
        final Entry entry = others.get(id);
        if (entry == null || entry.member.state().compareTo(Member.State.SUSPECT) >= 0) {
            return Optional.empty();
        }
        return Optional.of(change(entry, entry.member.withState(Member.State.SUSPECT)));
    }

    /**
     * Declares suspects dead after the suspicion timeout, and removes records of VMs that have been
     * dead for long.
     *
     * @return the records of the VMs that were declared dead
     */
    public synchronized List<Member> expire() {
        final long now = clock.millis();
        final List<Member> dead = new ArrayList<>();
        for (final Entry entry : others.values()) {
            final boolean timedOut = now - entry.sinceMillis >= suspicionTimeout.toMillis();
            if (entry.member.state() == Member.State.SUSPECT && timedOut) {
                dead.add(change(entry, entry.member.withState(Member.State.DEAD)));
            }
        }
        others.values()
                .removeIf(
                        e ->
                                e.member.state() == Member.State.DEAD
                                        && now - e.sinceMillis >= deadRetention.toMillis());
        return dead;
    }

    /**
     * Returns the VM to probe next. Each round covers every known VM once, in random order.
     *
     * @return the VM, empty if no other is known
     */
    public synchronized Optional<Member> nextProbe() {
        if (probeOrder.isEmpty()) {
            others.values().stream()
                    .filter(e -> e.member.state() != Member.State.DEAD)
                    .forEach(e -> probeOrder.add(e.member.id()));
            probeOrder.sort(Comparator.naturalOrder());
            shuffle(probeOrder);
        }
        while (!probeOrder.isEmpty()) {
            final Entry entry = others.get(probeOrder.remove(probeOrder.size() - 1));
            if (entry != null && entry.member.state() != Member.State.DEAD) {
                return Optional.of(entry.member);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns random VMs of this data centre that can probe a VM on behalf of this one.
     *
     * @param target the VM to probe
     * @param count the maximum number of VMs to return
     * @return the VMs
     */
    public synchronized List<Member> indirectProbers(final VmId target, final int count) {
        final List<Member> probers =
                new ArrayList<>(
                        others.values().stream()
                                .map(e -> e.member)
                                .filter(m -> m.state() == Member.State.ALIVE)
                                .filter(m -> m.dataCentre().equals(self.dataCentre()))
                                .filter(m -> !m.id().equals(target))
                                .sorted(Comparator.comparing(Member::id))
                                .toList());
        shuffle(probers);
        return List.copyOf(probers.subList(0, Math.min(count, probers.size())));
    }

    /**
     * Returns the updates to piggyback on the next peer message, those sent least often first. Each
     * call counts as one transmission of every update returned.
     *
     * @return the records
     */
    public synchronized List<Member> nextUpdates() {
        final List<Member> updates = new ArrayList<>();
        if (selfTransmissionsLeft > 0) {
            selfTransmissionsLeft--;
            updates.add(self);
        }
        others.values().stream()
                .filter(e -> e.transmissionsLeft > 0)
                .sorted(Comparator.comparingInt((Entry e) -> -e.transmissionsLeft))
                .limit(MAX_UPDATES_PER_MESSAGE)
                .forEach(
                        e -> {
                            e.transmissionsLeft--;
                            updates.add(e.member);
                        });
        return updates;
    }

    /** Marks this VM as draining. */
    public synchronized void startDraining() {
        self = self.withIncarnation(self.incarnation() + 1).withState(Member.State.LEAVING);
        selfTransmissionsLeft = TRANSMISSIONS_PER_UPDATE;
    }

    /**
     * Returns the VMs of this data centre that take duties, this VM included unless it is draining.
     *
     * @return the VMs, ordered by id
     */
    public synchronized List<VmId> dutyVms() {
        final List<VmId> ids = new ArrayList<>();
        if (self.state() == Member.State.ALIVE) {
            ids.add(self.id());
        }
        for (final Entry entry : others.values()) {
            final Member member = entry.member;
            if (member.state() == Member.State.ALIVE
                    && member.dataCentre().equals(self.dataCentre())) {
                ids.add(member.id());
            }
        }
        ids.sort(Comparator.naturalOrder());
        return ids;
    }

    /**
     * Returns the known VMs of other data centres that are not dead.
     *
     * @return the VMs, by data centre
     */
    public synchronized Map<DataCentreId, List<Member>> remoteMembers() {
        final Map<DataCentreId, List<Member>> remotes = new HashMap<>();
        for (final Entry entry : others.values()) {
            final Member member = entry.member;
            if (member.state() != Member.State.DEAD
                    && !member.dataCentre().equals(self.dataCentre())) {
                remotes.computeIfAbsent(member.dataCentre(), d -> new ArrayList<>()).add(member);
            }
        }
        return remotes;
    }

    /**
     * Returns the record of another VM.
     *
     * @param id the id of the VM
     * @return the record, empty if unknown
     */
    public synchronized Optional<Member> find(final VmId id) {
        return Optional.ofNullable(others.get(id)).map(e -> e.member);
    }

    /**
     * Returns the records of all VMs, this one included.
     *
     * @return the records, ordered by id
     */
    public synchronized List<Member> all() {
        final List<Member> all = new ArrayList<>();
        all.add(self);
        others.values().forEach(e -> all.add(e.member));
        all.sort(Comparator.comparing(Member::id));
        return all;
    }

    private void refute(final Member update) {
        // Peers may have declared this VM dead during a pause, or know a higher incarnation from
        // before a restart if the clock was ahead. Unless refuted, this VM would get no more
        // duties.
        final boolean mustRefute =
                update.incarnation() > self.incarnation()
                        || (update.incarnation() == self.incarnation()
                                && update.state().compareTo(self.state()) > 0);
        if (mustRefute) {
            self = self.withIncarnation(update.incarnation() + 1);
            selfTransmissionsLeft = TRANSMISSIONS_PER_UPDATE;
        }
    }

    private boolean accept(final Member update) {
        final Entry entry = others.get(update.id());
        if (entry != null) {
            if (!update.supersedes(entry.member)) {
                return false;
            }
            change(entry, update);
            return true;
        }
        if (!canAdd(update)) {
            return false;
        }
        others.put(update.id(), new Entry(update, clock.millis()));
        return true;
    }

    private boolean canAdd(final Member update) {
        if (update.dataCentre().equals(self.dataCentre())) {
            return true;
        }
        final long known =
                others.values().stream()
                        .filter(e -> e.member.dataCentre().equals(update.dataCentre()))
                        .filter(e -> e.member.state() != Member.State.DEAD)
                        .count();
        return update.state() != Member.State.DEAD && known < MAX_CONTACTS_PER_REMOTE_DATA_CENTRE;
    }

    private Member change(final Entry entry, final Member next) {
        entry.member = next;
        entry.sinceMillis = clock.millis();
        entry.transmissionsLeft = TRANSMISSIONS_PER_UPDATE;
        return next;
    }

    private void shuffle(final List<?> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            java.util.Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
