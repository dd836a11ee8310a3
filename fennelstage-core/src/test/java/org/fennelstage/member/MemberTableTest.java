package org.fennelstage.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.SplittableRandom;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.Test;

class MemberTableTest {

    private Instant now = Instant.ofEpochMilli(1_000_000);
    private final InstantSource clock = () -> now;
    private final MemberTable table =
            MemberTable.of(
                    member("a", "dc-0", 5, Member.State.ALIVE),
                    clock,
                    new SplittableRandom(1),
                    Duration.ofSeconds(3));

    @Test
    void aSingleVmTakesAllDutiesAndProbesNobody() {
        assertThat(table.dutyVms()).containsExactly(VmId.of("a"));
        assertThat(table.nextProbe()).isEmpty();
    }

    @Test
    void mergeKeepsTheWorseStateWithinAnIncarnationAndAnyStateOfAHigherOne() {
        table.merge(List.of(member("b", "dc-0", 1, Member.State.DEAD)));
        table.merge(List.of(member("b", "dc-0", 1, Member.State.ALIVE)));
        assertThat(table.dutyVms()).containsExactly(VmId.of("a"));
        table.merge(List.of(member("b", "dc-0", 2, Member.State.ALIVE)));
        assertThat(table.dutyVms()).containsExactly(VmId.of("a"), VmId.of("b"));
    }

    @Test
    void expireDeclaresASuspectDeadAfterTheTimeoutAndRemovesItLater() {
        table.merge(List.of(member("b", "dc-0", 1, Member.State.ALIVE)));
        assertThat(table.suspect(VmId.of("b"))).isPresent();
        assertThat(table.expire()).isEmpty();
        now = now.plusSeconds(3);
        assertThat(table.expire()).extracting(Member::state).containsExactly(Member.State.DEAD);
        now = now.plusSeconds(60);
        table.expire();
        assertThat(table.find(VmId.of("b"))).isEmpty();
    }

    /** A VM that peers declared dead during a pause must become eligible for duties again. */
    @Test
    void mergeRefutesADeadRecordOfThisVmWithAHigherIncarnation() {
        table.merge(List.of(member("a", "dc-0", 5, Member.State.DEAD)));
        assertThat(table.self().incarnation()).isEqualTo(6);
        assertThat(table.self().state()).isEqualTo(Member.State.ALIVE);
        assertThat(table.nextUpdates()).contains(table.self());
    }

    @Test
    void mergeLimitsTheContactsPerRemoteDataCentre() {
        for (int i = 0; i < 10; i++) {
            table.merge(List.of(member("r" + i, "dc-1", 1, Member.State.ALIVE)));
        }
        assertThat(table.remoteMembers().get(DataCentreId.of("dc-1")))
                .hasSize(MemberTable.MAX_CONTACTS_PER_REMOTE_DATA_CENTRE);
        assertThat(table.dutyVms()).containsExactly(VmId.of("a"));
    }

    @Test
    void aDrainingVmTakesNoDuties() {
        table.startDraining();
        assertThat(table.dutyVms()).isEmpty();
    }

    @Test
    void nextProbeReturnsEachVmOncePerRound() {
        for (int i = 0; i < 5; i++) {
            table.merge(List.of(member("b" + i, "dc-0", 1, Member.State.ALIVE)));
        }
        final List<Member> round =
                List.of(
                        table.nextProbe().get(),
                        table.nextProbe().get(),
                        table.nextProbe().get(),
                        table.nextProbe().get(),
                        table.nextProbe().get());
        assertThat(round).doesNotHaveDuplicates();
    }

    /** Removing a VM must not reassign the duties of the remaining ones. */
    @Test
    void aDutyIsReassignedOnlyIfItsHolderIsRemoved() {
        final List<VmId> all = List.of(VmId.of("a"), VmId.of("b"), VmId.of("c"), VmId.of("d"));
        for (int duty = 0; duty < 50; duty++) {
            final VmId holder = Rendezvous.choose("duty-" + duty, all).get();
            for (final VmId removed : all) {
                final List<VmId> remaining = all.stream().filter(v -> !v.equals(removed)).toList();
                if (!removed.equals(holder)) {
                    assertThat(Rendezvous.choose("duty-" + duty, remaining)).contains(holder);
                }
            }
        }
    }

    private static Member member(
            final String id, final String dc, final long incarnation, final Member.State state) {
        return new Member(VmId.of(id), DataCentreId.of(dc), "127.0.0.1", 1, incarnation, state);
    }
}
