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
 * The entry VMs as one of them sees them: its own data centre in full, a few contacts in each
 * other.
 *
 * <p>Failure detection follows SWIM: each period one VM is probed, directly and then through
 * others; one that answers neither is suspected, and dead if it does not contradict in time.
 * Changes travel on the probes. So the messages per VM do not grow with their number.
 *
 * <p>Invariants: beliefs change only as {@link Member#supersedes} allows; the own VM is never
 * believed worse than it is, since a wrong belief is answered with a higher incarnation.
 * Thread-safe; one monitor guards all state.
 */
public final class MemberTable {

    /** Enough to reach another data centre while two of its VMs are replaced at once. */
    static final int CONTACTS_PER_REMOTE_DATA_CENTRE = 3;

    private static final int NEWS_COPIES = 8;
    private static final int MAX_NEWS_PER_MESSAGE = 8;

    private final InstantSource clock;
    private final RandomGenerator random;
    private final Duration suspicion;
    private final Duration retention;
    private final Map<VmId, Entry> others = new HashMap<>();
    private final List<VmId> probeOrder = new ArrayList<>();
    private Member self;
    private int selfNews = NEWS_COPIES;

    private static final class Entry {
        private Member member;
        private long sinceMillis;
        private int newsLeft;

        Entry(final Member member, final long sinceMillis) {
            this.member = member;
            this.sinceMillis = sinceMillis;
            this.newsLeft = NEWS_COPIES;
        }
    }

    private MemberTable(
            final Member self,
            final InstantSource clock,
            final RandomGenerator random,
            final Duration suspicion) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.suspicion = Objects.requireNonNull(suspicion, "suspicion is null");
        this.retention = suspicion.multipliedBy(20);
    }

    /**
     * Returns a table that knows only its own VM.
     *
     * @param self the own VM
     * @param clock the clock
     * @param random chooses whom to probe
     * @param suspicion how long a suspect has to contradict
     * @return the table
     */
    public static MemberTable of(
            final Member self,
            final InstantSource clock,
            final RandomGenerator random,
            final Duration suspicion) {
        return new MemberTable(self, clock, random, suspicion);
    }

    public synchronized Member self() {
        return self;
    }

    /**
     * Merges beliefs heard from a peer.
     *
     * @param beliefs the beliefs
     * @return those that changed what is believed here
     */
    public synchronized List<Member> merge(final Collection<Member> beliefs) {
        final List<Member> changed = new ArrayList<>();
        for (final Member belief : beliefs) {
            if (belief.id().equals(self.id())) {
                contradict(belief);
            } else if (accept(belief)) {
                changed.add(belief);
            }
        }
        return changed;
    }

    /**
     * Notes that a VM answered neither directly nor through others.
     *
     * @param id the VM
     * @return the new belief, empty if it was suspect or dead already
     */
    public synchronized Optional<Member> suspect(final VmId id) {
        final Entry entry = others.get(id);
        if (entry == null || entry.member.state().compareTo(Member.State.SUSPECT) >= 0) {
            return Optional.empty();
        }
        return Optional.of(change(entry, entry.member.withState(Member.State.SUSPECT)));
    }

    /**
     * Declares suspects dead whose time is up, and forgets the long dead.
     *
     * @return those declared dead
     */
    public synchronized List<Member> expire() {
        final long now = clock.millis();
        final List<Member> dead = new ArrayList<>();
        for (final Entry entry : others.values()) {
            final boolean due = now - entry.sinceMillis >= suspicion.toMillis();
            if (entry.member.state() == Member.State.SUSPECT && due) {
                dead.add(change(entry, entry.member.withState(Member.State.DEAD)));
            }
        }
        others.values()
                .removeIf(
                        e ->
                                e.member.state() == Member.State.DEAD
                                        && now - e.sinceMillis >= retention.toMillis());
        return dead;
    }

    /**
     * Returns whom to probe next: every VM known, in random order, each once a round.
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
     * Returns VMs of the own data centre that can probe another in our stead.
     *
     * @param target whom they are to probe
     * @param count how many at most
     * @return the VMs
     */
    public synchronized List<Member> indirectProbers(final VmId target, final int count) {
        final List<Member> found =
                new ArrayList<>(
                        others.values().stream()
                                .map(e -> e.member)
                                .filter(m -> m.state() == Member.State.ALIVE)
                                .filter(m -> m.dataCentre().equals(self.dataCentre()))
                                .filter(m -> !m.id().equals(target))
                                .sorted(Comparator.comparing(Member::id))
                                .toList());
        shuffle(found);
        return List.copyOf(found.subList(0, Math.min(count, found.size())));
    }

    /**
     * Returns the beliefs to send along with the next message, the freshest first.
     *
     * @return the beliefs
     */
    public synchronized List<Member> nextUpdates() {
        final List<Member> news = new ArrayList<>();
        if (selfNews > 0) {
            selfNews--;
            news.add(self);
        }
        others.values().stream()
                .filter(e -> e.newsLeft > 0)
                .sorted(Comparator.comparingInt((Entry e) -> -e.newsLeft))
                .limit(MAX_NEWS_PER_MESSAGE)
                .forEach(
                        e -> {
                            e.newsLeft--;
                            news.add(e.member);
                        });
        return news;
    }

    /** Declares that the own VM is leaving. */
    public synchronized void startDraining() {
        self = self.withIncarnation(self.incarnation() + 1).withState(Member.State.LEAVING);
        selfNews = NEWS_COPIES;
    }

    /**
     * Returns the VMs of the own data centre that take duties, the own one included unless it is
     * leaving.
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
     * @return the VMs by data centre
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
     * Returns the belief about another VM.
     *
     * @param id the VM
     * @return the belief, empty if unknown
     */
    public synchronized Optional<Member> find(final VmId id) {
        return Optional.ofNullable(others.get(id)).map(e -> e.member);
    }

    /**
     * Returns the beliefs about all VMs, the own one included.
     *
     * @return the beliefs, ordered by id
     */
    public synchronized List<Member> all() {
        final List<Member> all = new ArrayList<>();
        all.add(self);
        others.values().forEach(e -> all.add(e.member));
        all.sort(Comparator.comparing(Member::id));
        return all;
    }

    private void contradict(final Member belief) {
        // Others may hold us dead after a pause, or remember an incarnation before a restart whose
        // clock stood ahead. Without an answer we would serve but never get duties again.
        final boolean wrong =
                belief.incarnation() > self.incarnation()
                        || (belief.incarnation() == self.incarnation()
                                && belief.state().compareTo(self.state()) > 0);
        if (wrong) {
            self = self.withIncarnation(belief.incarnation() + 1);
            selfNews = NEWS_COPIES;
        }
    }

    private boolean accept(final Member belief) {
        final Entry entry = others.get(belief.id());
        if (entry != null) {
            if (!belief.supersedes(entry.member)) {
                return false;
            }
            change(entry, belief);
            return true;
        }
        if (!hasRoomFor(belief)) {
            return false;
        }
        others.put(belief.id(), new Entry(belief, clock.millis()));
        return true;
    }

    private boolean hasRoomFor(final Member belief) {
        if (belief.dataCentre().equals(self.dataCentre())) {
            return true;
        }
        final long known =
                others.values().stream()
                        .filter(e -> e.member.dataCentre().equals(belief.dataCentre()))
                        .filter(e -> e.member.state() != Member.State.DEAD)
                        .count();
        return belief.state() != Member.State.DEAD && known < CONTACTS_PER_REMOTE_DATA_CENTRE;
    }

    private Member change(final Entry entry, final Member next) {
        entry.member = next;
        entry.sinceMillis = clock.millis();
        entry.newsLeft = NEWS_COPIES;
        return next;
    }

    private void shuffle(final List<?> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            java.util.Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
