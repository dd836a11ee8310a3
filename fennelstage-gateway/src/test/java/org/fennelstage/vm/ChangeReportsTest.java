package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.history.Position;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.fennelstage.store.EraTracker;
import org.fennelstage.store.Follower;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.Page;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;
import org.fennelstage.store.VmEntry;
import org.fennelstage.store.WatchPace;
import org.junit.jupiter.api.Test;

class ChangeReportsTest implements Follower.Listener<DataCentreId> {

    private static final int DATA_CENTRES = 3;
    private static final int VMS_EACH = 5;
    private static final DataCentreId EVACUATED = DataCentreId.of("dc-x");

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<PeerMessage> sent = new ArrayList<>();
    private final List<Runnable> checks = new ArrayList<>();
    private final List<Duration> delays = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();

    private final class Vm {
        private final ManualStore store = new ManualStore();
        private final ChangeReports reports;

        private Vm(final VmEntry entry, final List<VmEntry> all) {
            final ManualStore list = new ManualStore();
            final Peers peers = new Peers(entry, address -> new ManualStore(), count -> {});
            peers.start(channel.eventLoop(), list);
            list.complete(VmLists.of(all));
            reports =
                    new ChangeReports(
                            entry.vm(),
                            peers,
                            (message, to) -> sent.add(message),
                            (task, delay) -> {
                                checks.add(task);
                                delays.add(delay);
                            },
                            () -> Duration.ofSeconds(3));
            reports.follow(
                            new StoreWatches(
                                    channel.eventLoop(), store, new Random(1), EraTracker.empty()),
                            StoreKind.EVACUATIONS,
                            () -> WatchPace.ofMillis(10_000, 0),
                            ChangeReportsTest.this)
                    .start();
            store.complete(page(5));
        }

        /** Completes the list that is pending beside the watch. */
        private void completeList(final StoreResult<Page<DataCentreId>> result) {
            store.pending().remove(1).accept(result);
        }

        private void report(final long era, final long revision) {
            reports.onReported(
                    new PeerMessage.Changed(StoreKind.EVACUATIONS, Position.of(era, revision)));
        }
    }

    @Override
    public void onAll(final List<StoredValue<DataCentreId>> values) {}

    @Override
    public void onChange(final StoredValue<DataCentreId> value) {}

    private void startFleet() {
        final List<VmEntry> entries =
                IntStream.range(0, DATA_CENTRES * VMS_EACH)
                        .mapToObj(
                                vm ->
                                        new VmEntry(
                                                VmId.of("edge-" + vm),
                                                DataCentreId.of("dc-" + vm % DATA_CENTRES),
                                                new ServerAddress("10.0.0." + (vm + 1), 80)))
                        .toList();
        entries.forEach(entry -> vms.add(new Vm(entry, entries)));
    }

    @SafeVarargs
    private static StoreResult<Page<DataCentreId>> page(
            final long revision, final StoredValue<DataCentreId>... values) {
        return new StoreResult.Done<>(
                new Page<>(List.of(values), Optional.empty(), Position.of(0, revision)));
    }

    private static StoredValue<DataCentreId> change(
            final long revision, final Optional<DataCentreId> value) {
        return new StoredValue<>(
                EVACUATED.value(), Position.of(0, revision), value, Optional.empty());
    }

    /** Guards against a change that is lost with the one VM that reports it. */
    @Test
    void twoVmsOfEachDataCentreReportAChangeOrADeletion() {
        startFleet();
        assertThat(sent).as("first list").isEmpty();
        vms.forEach(vm -> vm.store.complete(page(9, change(7, Optional.of(EVACUATED)))));
        vms.forEach(vm -> vm.store.complete(page(12, change(11, Optional.empty()))));
        final PeerMessage changed =
                new PeerMessage.Changed(StoreKind.EVACUATIONS, Position.of(0, 7));
        final PeerMessage deleted =
                new PeerMessage.Changed(StoreKind.EVACUATIONS, Position.of(0, 11));
        final int reporters = DATA_CENTRES * ChangeReports.REPORTERS;
        assertThat(sent).containsOnly(changed, deleted).hasSize(2 * reporters);
        assertThat(sent.subList(0, reporters)).containsOnly(changed);
    }

    @Test
    void positionWithoutAChangeIsNotReported() {
        startFleet();
        vms.forEach(vm -> vm.store.complete(page(9)));
        assertThat(sent).isEmpty();
    }

    @Test
    void kindIsReadAgainWhenAReportedChangeDoesNotArriveInTime() {
        startFleet();
        final Vm vm = vms.get(0);
        vm.report(0, 7);
        vm.report(0, 8);
        assertThat(delays).containsExactly(Duration.ofMillis(600));
        assertThat(vm.store.pending()).as("watch").hasSize(1);
        checks.remove(0).run();
        assertThat(vm.store.pending()).as("watch and list").hasSize(2);
    }

    /** Guards against a call by every VM for each change. */
    @Test
    void kindIsNotReadAgainWhenTheChangeArrivesInTime() {
        startFleet();
        final Vm vm = vms.get(0);
        vm.report(0, 7);
        vm.store.complete(page(9, change(7, Optional.of(EVACUATED))));
        checks.remove(0).run();
        assertThat(vm.store.pending()).as("watch").hasSize(1);
        assertThat(checks).isEmpty();
    }

    /** Guards against reading again too early when changes follow each other. */
    @Test
    void eachReportedChangeHasTheWholeTimeToArrive() {
        startFleet();
        final Vm vm = vms.get(0);
        vm.report(0, 7);
        vm.store.complete(page(7, change(7, Optional.of(EVACUATED))));
        vm.report(0, 12);
        checks.remove(0).run();
        assertThat(vm.store.pending()).as("watch").hasSize(1);
        checks.remove(0).run();
        assertThat(vm.store.pending()).as("watch and list").hasSize(2);
    }

    @Test
    void reportOfAReadChangeIsIgnored() {
        startFleet();
        vms.get(0).report(0, 5);
        assertThat(checks).isEmpty();
        vms.get(0).report(1, 2);
        assertThat(checks).as("later era").hasSize(1);
    }

    /**
     * Guards against one failed or outdated list that leaves the VM behind until its next watch.
     */
    @Test
    void readingIsRepeatedAfterEachTimeToArriveWhileTheChangeIsMissing() {
        startFleet();
        final Vm vm = vms.get(0);
        vm.report(0, 7);
        checks.remove(0).run();
        vm.completeList(new StoreResult.Unavailable<>(false, "503"));
        assertThat(vm.store.pending()).as("watch").hasSize(1);
        checks.remove(0).run();
        assertThat(vm.store.pending()).as("watch and list after a failure").hasSize(2);
        vm.completeList(page(6));
        checks.remove(0).run();
        assertThat(vm.store.pending()).as("watch and list after an older list").hasSize(2);
        vm.completeList(page(7, change(7, Optional.of(EVACUATED))));
        checks.remove(0).run();
        assertThat(vm.store.pending()).as("watch").hasSize(1);
        assertThat(checks).isEmpty();
        assertThat(delays).hasSize(4).containsOnly(Duration.ofMillis(600));
    }

    @Test
    void pendingListIsNotRepeated() {
        startFleet();
        final Vm vm = vms.get(0);
        vm.report(0, 7);
        checks.remove(0).run();
        checks.remove(0).run();
        assertThat(vm.store.pending()).as("watch and list").hasSize(2);
    }

    /** Guards against a fleet that lists in a loop for a change that the store never returns. */
    @Test
    void readingForOneReportEndsWithinTheMaximumPropagationDelay() {
        startFleet();
        final Vm vm = vms.get(0);
        for (int report = 0; report < 2; report++) {
            delays.clear();
            vm.report(0, 7 + report);
            int lists = 0;
            while (!checks.isEmpty() && lists < 100) {
                checks.remove(0).run();
                vm.completeList(page(5));
                lists++;
            }
            assertThat(lists).isEqualTo(4);
            assertThat(delays.stream().reduce(Duration.ZERO, Duration::plus))
                    .isLessThan(Duration.ofSeconds(3));
        }
    }
}
