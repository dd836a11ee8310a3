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
 * Measures what an idle VM spends on control, and how that grows with the VMs of its data centre
 * and with the declared objects: peer bytes and messages, processor time, heap, calls to the object
 * API, and how long a change takes to be in force on all.
 */
public final class SlopesMain {

    private static final String HOST = "127.0.0.1";
    private static final int SECONDS = 15;
    private static final int CHANGES = 20;
    private static final OperatingSystemMXBean SYSTEM =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private SlopesMain() {}

    /**
     * Prints a row for each size.
     *
     * @param args {@code [VMS,OBJECTS …]}
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
                        + " platform_reads_per_s watches_per_s writes_per_s in_force_p50_ms in_force_max_ms");
        for (final String size : sizes) {
            final String[] parts = size.split(",");
            measure(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
        }
        System.exit(0);
    }

    private static void measure(final int vms, final int objects)
            throws IOException, InterruptedException {
        final EventLoopGroup group = new NioEventLoopGroup(2);
        final MemoryObjectStore store = MemoryObjectStore.empty();
        final ObjectApiStandIn api =
                ObjectApiStandIn.start(group, new InetSocketAddress(HOST, 0), store, 1);
        for (int i = 0; i < objects; i++) {
            declare(store, i, 8);
        }
        final long heapBefore = usedHeap();
        final List<RouterVm> nodes = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            nodes.add(start(i, nodes, api.port()));
        }
        while (nodes.stream().anyMatch(n -> n.members().dutyVms().size() < vms || !n.isReady())) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        TimeUnit.SECONDS.sleep(5);
        final long heap = usedHeap() - heapBefore;
        final long bytes = nodes.stream().mapToLong(n -> n.network().bytesSent()).sum();
        final long messages = nodes.stream().mapToLong(n -> n.network().messagesSent()).sum();
        final long cpu = SYSTEM.getProcessCpuTime();
        final ObjectApiStandIn.Counts calls = api.counts();
        TimeUnit.SECONDS.sleep(SECONDS);
        final long cpuUsed = SYSTEM.getProcessCpuTime() - cpu;
        final ObjectApiStandIn.Counts later = api.counts();
        final double perVm = (double) SECONDS * vms;
        final double byteRate =
                (nodes.stream().mapToLong(n -> n.network().bytesSent()).sum() - bytes) / perVm;
        final double messageRate =
                (nodes.stream().mapToLong(n -> n.network().messagesSent()).sum() - messages)
                        / perVm;
        final long[] inForce = inForce(store, nodes);
        System.out.printf(
                "%d %d %.0f %.1f %.2f %d %.2f %.2f %.2f %d %d%n",
                vms,
                objects,
                byteRate,
                messageRate,
                cpuUsed / 1e7 / perVm,
                heap / 1024 / vms,
                (double) (later.reads() - calls.reads()) / SECONDS,
                (double) (later.watches() - calls.watches()) / SECONDS,
                (double) (later.writes() - calls.writes()) / SECONDS,
                inForce[CHANGES / 2],
                inForce[CHANGES - 1]);
        nodes.forEach(RouterVm::close);
        api.close();
        store.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Changes one object again and again; returns the sorted times until all VMs have it. */
    private static long[] inForce(final MemoryObjectStore store, final List<RouterVm> nodes)
            throws InterruptedException {
        final long[] millis = new long[CHANGES];
        for (int i = 0; i < CHANGES; i++) {
            final long start = System.nanoTime();
            final Revision revision = declare(store, 0, 9 + i);
            while (nodes.stream()
                    .anyMatch(n -> revision.isAfter(n.configuration().digest().highest()))) {
                TimeUnit.MICROSECONDS.sleep(500);
            }
            millis[i] = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        }
        java.util.Arrays.sort(millis);
        return millis;
    }

    private static RouterVm start(final int index, final List<RouterVm> nodes, final int objectPort)
            throws IOException {
        final List<InetSocketAddress> seeds =
                nodes.stream()
                        .limit(3)
                        .map(n -> new InetSocketAddress(HOST, n.peerPort()))
                        .toList();
        final Settings settings =
                new Settings(
                        new Settings.Vm(VmId.of("vm-" + index), DataCentreId.of("dc")),
                        new Settings.Listen(HOST, 0, HOST, 0, 0),
                        new Settings.Platform(
                                new InetSocketAddress(HOST, objectPort),
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

    private static long usedHeap() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
