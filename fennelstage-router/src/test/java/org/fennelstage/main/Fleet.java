package org.fennelstage.main;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.bill.Bill;
import org.fennelstage.bill.BillSegment;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;
import org.fennelstage.id.VmId;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.ChangesResult;
import org.fennelstage.objects.DeclarationKind;
import org.fennelstage.objects.Declarations;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.MalformedValueException;
import org.fennelstage.objects.MemoryObjectStore;
import org.fennelstage.objects.WriteResult;
import org.fennelstage.peer.PeerTiming;
import org.fennelstage.profile.Profile;
import org.fennelstage.rollout.ExposurePolicy;
import org.fennelstage.session.KeyRing;
import org.fennelstage.settings.Settings;
import org.fennelstage.standin.ModelEngine;
import org.fennelstage.standin.ObjectApiFaults;
import org.fennelstage.standin.ObjectApiStandIn;
import org.fennelstage.standin.PlainService;
import org.fennelstage.standin.RatingService;
import org.fennelstage.standin.VersionBehaviour;
import org.fennelstage.team.KeyHash;
import org.fennelstage.team.Team;

/**
 * Runs the VMs of several data centres in one process over loopback, with stand-ins for the
 * external services and injected faults. All data centres share one store; each has its own object
 * API, so that the store can be made unavailable to a single data centre. Not thread-safe.
 */
final class Fleet implements AutoCloseable {

    static final VersionId SMALL_V1 = VersionId.of("pero", "v1");
    static final VersionId SMALL_V2 = VersionId.of("pero", "v2");
    static final VersionId LARGE_V1 = VersionId.of("grande", "v1");
    static final String TEAM_KEY = "team-key";

    private static final String HOST = "127.0.0.1";
    static final PeerTiming TIMING =
            new PeerTiming(Duration.ofMillis(200), Duration.ofMillis(100), Duration.ofMillis(600));
    private static final Duration MAX_WAIT = Duration.ofSeconds(20);

    private final EventLoopGroup group = new NioEventLoopGroup(4);
    private final MemoryObjectStore store = MemoryObjectStore.empty();
    private final List<ObjectApiStandIn> apis = new ArrayList<>();
    private final List<ModelEngine> engines = new ArrayList<>();
    private final List<RouterVm> vms = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private final Map<Integer, Integer> dataCentreOfPort = new ConcurrentHashMap<>();
    private final Set<List<Integer>> partitions = ConcurrentHashMap.newKeySet();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final PlainService service;
    private final RatingService rating;
    private final int vmsPerDataCentre;
    private final PeerTiming timing;

    /** A response as the caller received it; the status is 0 if the connection failed. */
    record Response(int status, Map<String, List<String>> headers, String body) {
        String outcome() {
            return headers.getOrDefault("x-outcome", List.of("none")).get(0);
        }

        String requestId() {
            return headers.getOrDefault("x-request-id", List.of("")).get(0);
        }

        String sessionToken() {
            return headers.getOrDefault("x-session", List.of("")).get(0);
        }

        String explanation() {
            return headers.getOrDefault("x-explain", List.of("")).get(0);
        }
    }

    Fleet(final int dataCentres, final int vmsPerDataCentre, final VersionBehaviour... behaviours)
            throws IOException {
        this(TIMING, dataCentres, vmsPerDataCentre, behaviours);
    }

    Fleet(
            final PeerTiming timing,
            final int dataCentres,
            final int vmsPerDataCentre,
            final VersionBehaviour... behaviours)
            throws IOException {
        this.timing = timing;
        this.vmsPerDataCentre = vmsPerDataCentre;
        this.service = PlainService.start(group, anyPort());
        this.rating = RatingService.start(group, anyPort(), 20);
        declareAll(dataCentres, List.of(behaviours));
        for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
            apis.add(ObjectApiStandIn.start(group, anyPort(), store, dataCentre));
        }
        for (int i = 0; i < dataCentres * vmsPerDataCentre; i++) {
            vms.add(null);
            peerPorts.add(0);
            start(i);
        }
        await("all VMs to be ready", () -> vms.stream().allMatch(RouterVm::isReady));
        await("every VM to know its data centre", this::allVmsKnowTheirDataCentre);
    }

    static VersionBehaviour behaviour(
            final VersionId version, final double skill, final double errors) {
        return new VersionBehaviour(version, skill, errors, 0, 1, 1);
    }

    static void await(final String description, final BooleanSupplier condition) {
        final long deadline = System.nanoTime() + MAX_WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("timed out waiting for " + description);
            }
            try {
                Thread.sleep(5);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionError(e);
            }
        }
    }

    RouterVm vm(final int index) {
        return vms.get(index);
    }

    List<RouterVm> vms() {
        return vms;
    }

    PlainService service() {
        return service;
    }

    void start(final int index) throws IOException {
        final int dataCentre = index / vmsPerDataCentre;
        final RouterVm vm =
                RouterVm.start(
                        settings(index, dataCentre),
                        new RouterVm.Environment(
                                Optional.empty(),
                                InstantSource.system(),
                                address -> isReachable(dataCentre, address),
                                timing,
                                ExposurePolicy.DEFAULT,
                                2));
        vms.set(index, vm);
        peerPorts.set(index, vm.peerPort());
        dataCentreOfPort.put(vm.peerPort(), dataCentre);
    }

    /** Stops a VM without draining, as in a crash; its state in memory is lost. */
    void crash(final int index) {
        vms.get(index).close();
    }

    /** Blocks peer connections between two data centres. */
    void partition(final int first, final int second) {
        partitions.add(List.of(Math.min(first, second), Math.max(first, second)));
    }

    void removePartitions() {
        partitions.clear();
    }

    void injectStoreFaults(final int dataCentre, final ObjectApiFaults faults) {
        apis.get(dataCentre).faults(faults);
    }

    void setStoreUnavailable(final boolean unavailable) {
        apis.forEach(a -> a.faults(new ObjectApiFaults(unavailable, 0, 0, 0)));
    }

    void declare(final DeclarationKind kind, final String id, final Object declaration) {
        final ObjectKey key = Keys.declaration(kind, id);
        final StoredObject current = store.current(key);
        final Revision expected = current.value().isPresent() ? current.revision() : Revision.NONE;
        final WriteResult result =
                store.write(
                                key,
                                expected,
                                Declarations.encode("test", declaration),
                                CallPriority.URGENT)
                        .join();
        if (!(result instanceof WriteResult.Written)) {
            throw new AssertionError(result);
        }
    }

    void declareVersion(final VersionId version, final ModelVersion.State state) {
        declare(DeclarationKind.VERSION, version.toString(), new ModelVersion(version, state, 1));
    }

    Response chat(final int vm, final String profile, final String... headers) {
        return chatAsync(vm, profile, headers).join();
    }

    CompletableFuture<Response> chatAsync(
            final int vm, final String profile, final String... headers) {
        return chatWithPrompt(vm, profile, "hello", headers);
    }

    CompletableFuture<Response> chatWithPrompt(
            final int vm, final String profile, final String prompt, final String... headers) {
        final String body =
                "{\"model\":\""
                        + profile
                        + "\",\"messages\":[{\"role\":\"user\",\"content\":\""
                        + prompt
                        + "\"}]}";
        return sendAsync(vm, "POST", "/v1/chat/completions", body, headers);
    }

    CompletableFuture<Response> sendAsync(
            final int vm,
            final String method,
            final String path,
            final String body,
            final String... headers) {
        final HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create("http://" + HOST + ":" + vms.get(vm).port() + path))
                        .timeout(Duration.ofSeconds(30))
                        .header("authorization", "Bearer " + TEAM_KEY)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i + 1 < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(r -> new Response(r.statusCode(), r.headers().map(), r.body()))
                .exceptionally(e -> new Response(0, Map.of(), String.valueOf(e.getMessage())));
    }

    /** All requests that ran on any engine. */
    List<ModelEngine.Execution> executions() {
        return engines.stream().flatMap(e -> e.executions().stream()).toList();
    }

    long executionCount(final VersionId version) {
        return executions().stream().filter(e -> e.version().equals(version.toString())).count();
    }

    /** All stored bills, including duplicates. */
    List<Bill> bills() {
        final List<Bill> bills = new ArrayList<>();
        for (final StoredObject object : list(Keys.BILLS)) {
            try {
                bills.addAll(Json.read(object.value().get(), BillSegment.class).bills());
            } catch (final MalformedValueException e) {
                throw new AssertionError(e);
            }
        }
        return bills;
    }

    Set<String> billedRequests() {
        final Set<String> requests = new HashSet<>();
        bills().forEach(b -> requests.add(b.request().value()));
        return requests;
    }

    List<StoredObject> list(final String prefix) {
        final ChangesResult result =
                store.changes(prefix, Revision.NONE, Duration.ZERO, CallPriority.URGENT).join();
        return ((ChangesResult.Changed) result).objects();
    }

    @Override
    public void close() {
        vms.forEach(RouterVm::close);
        engines.forEach(ModelEngine::close);
        apis.forEach(ObjectApiStandIn::close);
        service.close();
        rating.close();
        store.close();
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }

    private boolean allVmsKnowTheirDataCentre() {
        return vms.stream().allMatch(vm -> vm.members().dutyVms().size() == vmsPerDataCentre);
    }

    private boolean isReachable(final int from, final InetSocketAddress to) {
        final Integer toDataCentre = dataCentreOfPort.get(to.getPort());
        return toDataCentre == null
                || !partitions.contains(
                        List.of(Math.min(from, toDataCentre), Math.max(from, toDataCentre)));
    }

    private void declareAll(final int dataCentres, final List<VersionBehaviour> behaviours)
            throws IOException {
        final List<VersionBehaviour> all =
                behaviours.isEmpty() ? List.of(behaviour(SMALL_V1, 0.9, 0)) : behaviours;
        final Set<VersionId> versions = new HashSet<>();
        for (final VersionBehaviour behaviour : all) {
            versions.add(behaviour.version());
            declareVersion(behaviour.version(), ModelVersion.State.SERVING);
        }
        for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
            for (int i = 0; i < 2; i++) {
                final ModelEngine engine =
                        ModelEngine.start(group, anyPort(), all, 16, dataCentre * 2L + i);
                engines.add(engine);
                declareServer(
                        "engine-" + dataCentre + "-" + i,
                        dataCentre,
                        engine.port(),
                        versions,
                        Optional.empty());
            }
        }
        declareServer("klub-1", 0, service.port(), Set.of(), Optional.of(ServiceName.of("klub")));
        declareProfile("draft", true, "pero");
        declareProfile("send", false, "pero");
        declareProfile("digest", true, "pero", "grande");
        declare(
                DeclarationKind.TEAM,
                "editors",
                new Team(
                        TeamId.of("editors"),
                        KeyHash.ofKey("salt", TEAM_KEY),
                        Set.of(ProfileId.of("draft"), ProfileId.of("send"), ProfileId.of("digest")),
                        Set.of(ModelId.of("pero"), ModelId.of("grande")),
                        100_000,
                        1000,
                        true));
        declare(DeclarationKind.KEY_RING, "sessions", KeyRing.of("k1", "secret-1"));
    }

    private void declareProfile(
            final String name, final boolean idempotent, final String... models) {
        declare(
                DeclarationKind.PROFILE,
                name,
                new Profile(
                        ProfileId.of(name),
                        Arrays.stream(models).map(ModelId::of).toList(),
                        0.7,
                        Duration.ofSeconds(10),
                        Duration.ofSeconds(20),
                        idempotent,
                        4));
    }

    void declareServer(
            final String name,
            final int dataCentre,
            final int port,
            final Set<VersionId> versions,
            final Optional<ServiceName> serviceName) {
        declare(
                DeclarationKind.BACKEND_SERVER,
                name,
                new BackendServer(
                        BackendServerId.of(name),
                        dataCentreId(dataCentre),
                        HOST,
                        port,
                        versions,
                        serviceName,
                        16,
                        false));
    }

    ModelEngine engine(final int index) {
        return engines.get(index);
    }

    private Settings settings(final int index, final int dataCentre) {
        final List<InetSocketAddress> seeds = new ArrayList<>();
        for (int i = 0; i < peerPorts.size(); i++) {
            if (i != index && peerPorts.get(i) != 0 && seeds.size() < 6) {
                seeds.add(new InetSocketAddress(HOST, peerPorts.get(i)));
            }
        }
        return new Settings(
                new Settings.Vm(VmId.of("vm-" + index), dataCentreId(dataCentre)),
                new Settings.Listen(HOST, 0, HOST, 0, peerPorts.get(index)),
                new Settings.Platform(
                        new InetSocketAddress(HOST, apis.get(dataCentre).port()),
                        1000,
                        1000,
                        Duration.ofMillis(500)),
                seeds,
                new Settings.Limits(16 * 1024, 64 * 1024, Duration.ofSeconds(30)),
                new Settings.Claims(4, Duration.ofSeconds(2)),
                new Settings.Rating(Optional.of(new InetSocketAddress(HOST, rating.port())), 1),
                new Settings.Tls(Optional.empty(), Optional.empty()),
                new Settings.Log(false, "warn"),
                Duration.ofSeconds(10));
    }

    void setBehaviour(final VersionBehaviour behaviour) {
        engines.forEach(e -> e.behave(behaviour));
    }

    static Map<String, Long> countByKey(final List<ModelEngine.Execution> executions) {
        final Map<String, Long> counts = new HashMap<>();
        executions.forEach(e -> counts.merge(e.key(), 1L, Long::sum));
        return counts;
    }

    private static DataCentreId dataCentreId(final int index) {
        return DataCentreId.of("dc-" + index);
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(HOST, 0);
    }
}
