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
 * VMs of several data centres in one process over loopback, with stand-ins for external services
 * and injected faults. Each data centre has its own API to the shared object store, so that it can
 * be cut off separately. Not thread-safe.
 */
final class Fleet implements AutoCloseable {

    static final VersionId GOOD = VersionId.of("pero", "v1");
    static final VersionId BAD = VersionId.of("pero", "v2");
    static final VersionId LARGE = VersionId.of("grande", "v1");
    static final String KEY = "team-key";

    private static final String HOST = "127.0.0.1";
    static final PeerTiming TIMING =
            new PeerTiming(Duration.ofMillis(200), Duration.ofMillis(100), Duration.ofMillis(600));
    private static final Duration MAX_WAIT = Duration.ofSeconds(20);

    private final EventLoopGroup group = new NioEventLoopGroup(4);
    private final MemoryObjectStore store = MemoryObjectStore.empty();
    private final List<ObjectApiStandIn> apis = new ArrayList<>();
    private final List<ModelEngine> engines = new ArrayList<>();
    private final List<RouterVm> nodes = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private final Map<Integer, Integer> dataCentreOfPort = new ConcurrentHashMap<>();
    private final Set<List<Integer>> cuts = ConcurrentHashMap.newKeySet();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final PlainService service;
    private final RatingService rating;
    private final int perDataCentre;
    private final PeerTiming timing;

    /** Response that a caller received. */
    record Answer(int status, Map<String, List<String>> headers, String body) {
        String outcome() {
            return headers.getOrDefault("x-outcome", List.of("none")).get(0);
        }

        String request() {
            return headers.getOrDefault("x-request-id", List.of("")).get(0);
        }

        String session() {
            return headers.getOrDefault("x-session", List.of("")).get(0);
        }

        String explained() {
            return headers.getOrDefault("x-explain", List.of("")).get(0);
        }
    }

    Fleet(final int dataCentres, final int perDataCentre, final VersionBehaviour... behaviours)
            throws IOException {
        this(TIMING, dataCentres, perDataCentre, behaviours);
    }

    Fleet(
            final PeerTiming timing,
            final int dataCentres,
            final int perDataCentre,
            final VersionBehaviour... behaviours)
            throws IOException {
        this.timing = timing;
        this.perDataCentre = perDataCentre;
        this.service = PlainService.start(group, any());
        this.rating = RatingService.start(group, any(), 20);
        declareAll(dataCentres, List.of(behaviours));
        for (int dc = 0; dc < dataCentres; dc++) {
            apis.add(ObjectApiStandIn.start(group, any(), store, dc));
        }
        for (int i = 0; i < dataCentres * perDataCentre; i++) {
            nodes.add(null);
            peerPorts.add(0);
            start(i);
        }
        await("all VMs ready", () -> nodes.stream().allMatch(RouterVm::isReady));
        await("all VMs know their data centre", this::isWhole);
    }

    static VersionBehaviour behaviour(
            final VersionId version, final double skill, final double errors) {
        return new VersionBehaviour(version, skill, errors, 0, 1, 1);
    }

    static void await(final String what, final BooleanSupplier condition) {
        final long deadline = System.nanoTime() + MAX_WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("timed out waiting for: " + what);
            }
            try {
                Thread.sleep(5);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionError(e);
            }
        }
    }

    RouterVm node(final int index) {
        return nodes.get(index);
    }

    List<RouterVm> nodes() {
        return nodes;
    }

    PlainService service() {
        return service;
    }

    void start(final int index) throws IOException {
        final int dc = index / perDataCentre;
        final RouterVm node =
                RouterVm.start(
                        settings(index, dc),
                        new RouterVm.Environment(
                                Optional.empty(),
                                InstantSource.system(),
                                address -> permits(dc, address),
                                timing,
                                ExposurePolicy.DEFAULT,
                                2));
        nodes.set(index, node);
        peerPorts.set(index, node.peerPort());
        dataCentreOfPort.put(node.peerPort(), dc);
    }

    /** Stops a VM immediately; its state in memory is lost. */
    void kill(final int index) {
        nodes.get(index).close();
    }

    /** Cuts two data centres off from each other. */
    void cut(final int left, final int right) {
        cuts.add(List.of(Math.min(left, right), Math.max(left, right)));
    }

    void removeCuts() {
        cuts.clear();
    }

    void platform(final int dataCentre, final ObjectApiFaults faults) {
        apis.get(dataCentre).faults(faults);
    }

    void platformDown(final boolean down) {
        apis.forEach(a -> a.faults(new ObjectApiFaults(down, 0, 0, 0)));
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

    void state(final VersionId version, final ModelVersion.State state) {
        declare(DeclarationKind.VERSION, version.toString(), new ModelVersion(version, state, 1));
    }

    Answer chat(final int node, final String profile, final String... headers) {
        return chatLater(node, profile, headers).join();
    }

    CompletableFuture<Answer> chatLater(
            final int node, final String profile, final String... headers) {
        return say(node, profile, "hello", headers);
    }

    CompletableFuture<Answer> say(
            final int node, final String profile, final String prompt, final String... headers) {
        final String body =
                "{\"model\":\""
                        + profile
                        + "\",\"messages\":[{\"role\":\"user\",\"content\":\""
                        + prompt
                        + "\"}]}";
        return send(node, "POST", "/v1/chat/completions", body, headers);
    }

    CompletableFuture<Answer> send(
            final int node,
            final String method,
            final String path,
            final String body,
            final String... headers) {
        final HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create("http://" + HOST + ":" + nodes.get(node).port() + path))
                        .timeout(Duration.ofSeconds(30))
                        .header("authorization", "Bearer " + KEY)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i + 1 < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(r -> new Answer(r.statusCode(), r.headers().map(), r.body()))
                .exceptionally(e -> new Answer(0, Map.of(), String.valueOf(e.getMessage())));
    }

    /** All requests that ran on any engine. */
    List<ModelEngine.Execution> executions() {
        return engines.stream().flatMap(e -> e.executions().stream()).toList();
    }

    long ranOn(final VersionId version) {
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

    Set<String> billed() {
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
        nodes.forEach(RouterVm::close);
        engines.forEach(ModelEngine::close);
        apis.forEach(ObjectApiStandIn::close);
        service.close();
        rating.close();
        store.close();
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }

    private boolean isWhole() {
        return nodes.stream().allMatch(n -> n.members().dutyVms().size() == perDataCentre);
    }

    private boolean permits(final int from, final InetSocketAddress to) {
        final Integer other = dataCentreOfPort.get(to.getPort());
        return other == null
                || !cuts.contains(List.of(Math.min(from, other), Math.max(from, other)));
    }

    private void declareAll(final int dataCentres, final List<VersionBehaviour> behaviours)
            throws IOException {
        final List<VersionBehaviour> all =
                behaviours.isEmpty() ? List.of(behaviour(GOOD, 0.9, 0)) : behaviours;
        final Set<VersionId> versions = new HashSet<>();
        for (final VersionBehaviour behaviour : all) {
            versions.add(behaviour.version());
            state(behaviour.version(), ModelVersion.State.SERVING);
        }
        for (int dc = 0; dc < dataCentres; dc++) {
            for (int i = 0; i < 2; i++) {
                final ModelEngine engine = ModelEngine.start(group, any(), all, 16, dc * 2L + i);
                engines.add(engine);
                server("engine-" + dc + "-" + i, dc, engine.port(), versions, Optional.empty());
            }
        }
        server("klub-1", 0, service.port(), Set.of(), Optional.of(ServiceName.of("klub")));
        profile("draft", true, "pero");
        profile("send", false, "pero");
        profile("digest", true, "pero", "grande");
        declare(
                DeclarationKind.TEAM,
                "editors",
                new Team(
                        TeamId.of("editors"),
                        KeyHash.ofKey("salt", KEY),
                        Set.of(ProfileId.of("draft"), ProfileId.of("send"), ProfileId.of("digest")),
                        Set.of(ModelId.of("pero"), ModelId.of("grande")),
                        100_000,
                        1000,
                        true));
        declare(DeclarationKind.KEY_RING, "sessions", KeyRing.of("k1", "secret-1"));
    }

    private void profile(final String name, final boolean idempotent, final String... models) {
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

    void server(
            final String name,
            final int dc,
            final int port,
            final Set<VersionId> versions,
            final Optional<ServiceName> plain) {
        declare(
                DeclarationKind.BACKEND_SERVER,
                name,
                new BackendServer(
                        BackendServerId.of(name),
                        dataCentre(dc),
                        HOST,
                        port,
                        versions,
                        plain,
                        16,
                        false));
    }

    ModelEngine engine(final int index) {
        return engines.get(index);
    }

    private Settings settings(final int index, final int dc) {
        final List<InetSocketAddress> seeds = new ArrayList<>();
        for (int i = 0; i < peerPorts.size(); i++) {
            if (i != index && peerPorts.get(i) != 0 && seeds.size() < 6) {
                seeds.add(new InetSocketAddress(HOST, peerPorts.get(i)));
            }
        }
        return new Settings(
                new Settings.Vm(VmId.of("vm-" + index), dataCentre(dc)),
                new Settings.Listen(HOST, 0, HOST, 0, peerPorts.get(index)),
                new Settings.Platform(
                        new InetSocketAddress(HOST, apis.get(dc).port()),
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

    void behave(final VersionBehaviour behaviour) {
        engines.forEach(e -> e.behave(behaviour));
    }

    static Map<String, Long> countByKey(final List<ModelEngine.Execution> executions) {
        final Map<String, Long> counts = new HashMap<>();
        executions.forEach(e -> counts.merge(e.key(), 1L, Long::sum));
        return counts;
    }

    private static DataCentreId dataCentre(final int index) {
        return DataCentreId.of("dc-" + index);
    }

    private static InetSocketAddress any() {
        return new InetSocketAddress(HOST, 0);
    }
}
