package org.fennelstage.bench;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.configuration.Revision;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VersionId;
import org.fennelstage.id.VmId;
import org.fennelstage.log.LogSetup;
import org.fennelstage.main.RouterVm;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.DeclarationKind;
import org.fennelstage.objects.Declarations;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.MemoryObjectStore;
import org.fennelstage.settings.Settings;
import org.fennelstage.standin.ObjectApiStandIn;

/**
 * Measures the cost of coordination on idle VMs, and how it grows with the number of VMs in a data
 * centre and of declared objects: peer messages and their bytes, processor time, heap, calls to the
 * store, and the time until all VMs have a configuration change.
 */
public final class SlopesMain {

    private static final String HOST = "127.0.0.1";
    private static final int SETTLE_SECONDS = 5;
    private static final int MEASURED_SECONDS = 15;
    private static final int CHANGE_COUNT = 20;

    /** The processor time of 1 % of a core during one second. */
    private static final double NANOS_PER_CORE_PERCENT = 1e7;

    private static final OperatingSystemMXBean OPERATING_SYSTEM =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private SlopesMain() {}

    /**
     * Prints a row for each size.
     *
     * @param args {@code [VMS,OBJECTS …]}: the numbers of VMs and of declared objects
     * @throws IOException if an address cannot be bound
     * @throws InterruptedException if interrupted
     */
    public static void main(final String[] args) throws IOException, InterruptedException {
        LogSetup.apply(false, "error");
        final String[] sizes =
                args.length > 0
                        ? args
                        : new String[] {"3,100", "9,100", "27,100", "54,100", "9,1000", "9,4000"};
        System.out.println(
                "vms objects bytes_per_s msgs_per_s cpu_percent_of_core heap_kb_per_vm"
                        + " store_reads_per_s watches_per_s writes_per_s propagation_p50_ms propagation_max_ms");
        for (final String size : sizes) {
            final String[] parts = size.split(",");
            measure(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
        }
        System.exit(0);
    }

    private static void measure(final int vmCount, final int objectCount)
            throws IOException, InterruptedException {
        final EventLoopGroup group = new NioEventLoopGroup(2);
        final MemoryObjectStore store = MemoryObjectStore.empty();
        final ObjectApiStandIn api =
                ObjectApiStandIn.start(group, new InetSocketAddress(HOST, 0), store, 1);
        for (int i = 0; i < objectCount; i++) {
            declare(store, i, 8);
        }
        final long heapBytesBefore = usedHeapBytes();
        final List<RouterVm> vms = new ArrayList<>();
        for (int i = 0; i < vmCount; i++) {
            vms.add(startVm(i, vms, api.port()));
        }
        while (vms.stream()
                .anyMatch(vm -> vm.members().dutyVms().size() < vmCount || !vm.isReady())) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
        final long heapBytes = usedHeapBytes() - heapBytesBefore;
        final long bytesBefore = vms.stream().mapToLong(vm -> vm.network().bytesSent()).sum();
        final long messagesBefore = vms.stream().mapToLong(vm -> vm.network().messagesSent()).sum();
        final long cpuNanosBefore = OPERATING_SYSTEM.getProcessCpuTime();
        final ObjectApiStandIn.Counts callsBefore = api.counts();
        TimeUnit.SECONDS.sleep(MEASURED_SECONDS);
        final long cpuNanos = OPERATING_SYSTEM.getProcessCpuTime() - cpuNanosBefore;
        final ObjectApiStandIn.Counts callsAfter = api.counts();
        final double vmSeconds = (double) MEASURED_SECONDS * vmCount;
        final double byteRate =
                (vms.stream().mapToLong(vm -> vm.network().bytesSent()).sum() - bytesBefore)
                        / vmSeconds;
        final double messageRate =
                (vms.stream().mapToLong(vm -> vm.network().messagesSent()).sum() - messagesBefore)
                        / vmSeconds;
        final long[] propagationMillis = measurePropagation(store, vms);
        System.out.printf(
                "%d %d %.0f %.1f %.2f %d %.2f %.2f %.2f %d %d%n",
                vmCount,
                objectCount,
                byteRate,
                messageRate,
                cpuNanos / NANOS_PER_CORE_PERCENT / vmSeconds,
                heapBytes / 1024 / vmCount,
                (double) (callsAfter.reads() - callsBefore.reads()) / MEASURED_SECONDS,
                (double) (callsAfter.watches() - callsBefore.watches()) / MEASURED_SECONDS,
                (double) (callsAfter.writes() - callsBefore.writes()) / MEASURED_SECONDS,
                propagationMillis[CHANGE_COUNT / 2],
                propagationMillis[CHANGE_COUNT - 1]);
        vms.forEach(RouterVm::close);
        api.close();
        store.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /**
     * Changes one object repeatedly and measures the time until all VMs have each change.
     *
     * @return the times, sorted; milliseconds
     */
    private static long[] measurePropagation(
            final MemoryObjectStore store, final List<RouterVm> vms) throws InterruptedException {
        final long[] propagationMillis = new long[CHANGE_COUNT];
        for (int i = 0; i < CHANGE_COUNT; i++) {
            final long start = System.nanoTime();
            final Revision revision = declare(store, 0, 9 + i);
            while (vms.stream()
                    .anyMatch(vm -> revision.isAfter(vm.configuration().digest().highest()))) {
                TimeUnit.MICROSECONDS.sleep(500);
            }
            propagationMillis[i] = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        }
        java.util.Arrays.sort(propagationMillis);
        return propagationMillis;
    }

    private static RouterVm startVm(
            final int index, final List<RouterVm> vms, final int objectApiPort) throws IOException {
        final List<InetSocketAddress> seeds =
                vms.stream()
                        .limit(3)
                        .map(vm -> new InetSocketAddress(HOST, vm.peerPort()))
                        .toList();
        final Settings settings =
                new Settings(
                        new Settings.Vm(VmId.of("vm-" + index), DataCentreId.of("dc")),
                        new Settings.Listen(HOST, 0, HOST, 0, 0),
                        new Settings.Platform(
                                new InetSocketAddress(HOST, objectApiPort),
                                20,
                                60,
                                Duration.ofSeconds(1)),
                        seeds,
                        new Settings.Limits(16384, 1 << 20, Duration.ofSeconds(30)),
                        new Settings.Claims(16, Duration.ofSeconds(2)),
                        new Settings.Rating(Optional.empty(), 0),
                        new Settings.Tls(Optional.empty(), Optional.empty()),
                        new Settings.Log(false, "error"),
                        Duration.ofSeconds(1));
        return RouterVm.start(settings, RouterVm.Environment.standard());
    }

    private static Revision declare(
            final MemoryObjectStore store, final int index, final int slots) {
        final String id = "worker-" + index;
        final BackendServer server =
                new BackendServer(
                        BackendServerId.of(id),
                        DataCentreId.of("dc"),
                        HOST,
                        10_000 + index,
                        Set.of(VersionId.of("m", "v1")),
                        Optional.empty(),
                        slots,
                        false);
        final var key = Keys.declaration(DeclarationKind.BACKEND_SERVER, id);
        store.write(
                        key,
                        store.current(key).revision(),
                        Declarations.encode("slopes", server),
                        CallPriority.NORMAL)
                .join();
        return store.current(key).revision();
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
