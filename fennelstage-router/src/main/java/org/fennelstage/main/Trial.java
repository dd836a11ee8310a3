package org.fennelstage.main;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.configuration.Revision;
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
import org.fennelstage.objects.DeclarationKind;
import org.fennelstage.objects.Declarations;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.MemoryObjectStore;
import org.fennelstage.profile.Profile;
import org.fennelstage.session.KeyRing;
import org.fennelstage.settings.Settings;
import org.fennelstage.standin.ModelEngine;
import org.fennelstage.standin.ObjectApiStandIn;
import org.fennelstage.standin.PlainService;
import org.fennelstage.standin.RatingService;
import org.fennelstage.standin.VersionBehaviour;
import org.fennelstage.team.KeyHash;
import org.fennelstage.team.Team;

/**
 * Runs a VM and stand-ins for all external services in one process on loopback: an object API in
 * memory, engines of two models with two versions each, a plain service and a rating service. Two
 * teams are declared. Thread-safe.
 */
final class Trial implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("sofia-lozenets");
    private static final int SLOTS = 8;
    private static final long SEED = 7;
    private static final List<VersionBehaviour> BEHAVIOURS =
            List.of(
                    VersionBehaviour.parse("pero-small@v1,0.75,0,0,4,10"),
                    VersionBehaviour.parse("pero-small@v2,0.78,0,0,4,10"),
                    VersionBehaviour.parse("pero-large@v1,0.92,0,0,10,40"),
                    VersionBehaviour.parse("pero-large@v2,0.40,0,0,10,40"));

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final MemoryObjectStore store = MemoryObjectStore.empty();
    private final List<AutoCloseable> standIns = new ArrayList<>();
    private final ObjectApiStandIn objectApi;
    private final RouterVm vm;

    private Trial(final int port) throws IOException {
        objectApi = ObjectApiStandIn.start(group, anyPort(), store, SEED);
        standIns.add(objectApi);
        final RatingService rating = RatingService.start(group, anyPort(), 200);
        standIns.add(rating);
        declareAll();
        vm =
                RouterVm.start(
                        settings(port, rating.port()),
                        RouterVm.Environment.standard().withStore(store));
        awaitReady();
    }

    static Trial start(final int port) throws IOException {
        return new Trial(port);
    }

    int port() {
        return vm.port();
    }

    String instructions() {
        final String address = "http://" + HOST + ":" + vm.port();
        return String.join(
                System.lineSeparator(),
                "fennelstage trial listens on " + address,
                "operators: http://" + HOST + ":" + vm.adminPort() + " (/readyz /metrics /status)",
                "object API for fennelctl: --store " + HOST + ":" + objectApi.port(),
                "team editors:  key editors-key  profiles subject-line, full-issue, send",
                "team auditors: key auditors-key profile  subject-line",
                "plain service: /services/klub-portal-api/",
                "try:",
                "curl -N "
                        + address
                        + "/v1/chat/completions -H 'Authorization: Bearer editors-key'"
                        + " -d '{\"model\":\"subject-line\",\"stream\":true,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"Three subject lines\"}]}'",
                "");
    }

    @Override
    public void close() {
        vm.stop();
        for (final AutoCloseable standIn : standIns) {
            try {
                standIn.close();
            } catch (final Exception e) {
                System.err.println("cannot close a stand-in: " + e.getMessage());
            }
        }
        store.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void awaitReady() throws IOException {
        final long deadline = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!vm.isReady()) {
            if (System.nanoTime() > deadline) {
                throw new IOException("the VM of the trial did not become ready within 10 s");
            }
            Thread.onSpinWait();
        }
    }

    private void declareAll() throws IOException {
        for (final VersionBehaviour behaviour : BEHAVIOURS) {
            final boolean isServing = behaviour.version().version().equals("v1");
            final double cost = behaviour.version().model().value().equals("pero-small") ? 1 : 12;
            declare(
                    DeclarationKind.VERSION,
                    behaviour.version().toString(),
                    new ModelVersion(
                            behaviour.version(),
                            isServing ? ModelVersion.State.SERVING : ModelVersion.State.DRAINING,
                            cost));
        }
        startEngine("pero-small", "pero-worker-1");
        startEngine("pero-small", "pero-worker-2");
        startEngine("pero-large", "pero-worker-3");
        startEngine("pero-large", "pero-worker-4");
        final PlainService service = PlainService.start(group, anyPort());
        standIns.add(service);
        declareServer(
                "klub-1", service.port(), Set.of(), Optional.of(ServiceName.of("klub-portal-api")));
        declareProfile("subject-line", "pero-small", 0.6, true, 16);
        declareProfile("full-issue", "pero-large", 0.85, true, 200);
        declareProfile("send", "pero-small", 0.6, false, 16);
        declareTeam("editors", Set.of("subject-line", "full-issue", "send"), true);
        declareTeam("auditors", Set.of("subject-line"), false);
        declare(
                DeclarationKind.KEY_RING,
                "sessions",
                KeyRing.of("k1", UUID.randomUUID().toString()));
    }

    private void startEngine(final String model, final String name) throws IOException {
        final List<VersionBehaviour> behaviours =
                BEHAVIOURS.stream().filter(b -> b.version().model().value().equals(model)).toList();
        final ModelEngine engine =
                ModelEngine.start(group, anyPort(), behaviours, SLOTS, name.hashCode());
        standIns.add(engine);
        final Set<VersionId> versions =
                Set.of(VersionId.of(model, "v1"), VersionId.of(model, "v2"));
        declareServer(name, engine.port(), versions, Optional.empty());
    }

    private void declareServer(
            final String name,
            final int port,
            final Set<VersionId> versions,
            final Optional<ServiceName> service) {
        declare(
                DeclarationKind.BACKEND_SERVER,
                name,
                new BackendServer(
                        BackendServerId.of(name),
                        DATA_CENTRE,
                        HOST,
                        port,
                        versions,
                        service,
                        SLOTS,
                        false));
    }

    private void declareProfile(
            final String name,
            final String model,
            final double quality,
            final boolean idempotent,
            final int maxTokens) {
        declare(
                DeclarationKind.PROFILE,
                name,
                new Profile(
                        ProfileId.of(name),
                        List.of(ModelId.of(model)),
                        quality,
                        Duration.ofMillis(1300),
                        Duration.ofSeconds(30),
                        idempotent,
                        maxTokens));
    }

    private void declareTeam(
            final String name, final Set<String> profiles, final boolean mayExplain) {
        declare(
                DeclarationKind.TEAM,
                name,
                new Team(
                        TeamId.of(name),
                        KeyHash.ofKey(name + "-salt", name + "-key"),
                        profiles.stream()
                                .map(ProfileId::of)
                                .collect(java.util.stream.Collectors.toSet()),
                        Set.of(ModelId.of("pero-small"), ModelId.of("pero-large")),
                        200,
                        100,
                        mayExplain));
    }

    private void declare(final DeclarationKind kind, final String id, final Object declaration) {
        store.write(
                        Keys.declaration(kind, id),
                        Revision.NONE,
                        Declarations.encode("trial", declaration),
                        CallPriority.NORMAL)
                .join();
    }

    private static Settings settings(final int port, final int ratingPort) {
        return new Settings(
                new Settings.Vm(VmId.of("trial-vm"), DATA_CENTRE),
                new Settings.Listen(HOST, port, HOST, 0, 0),
                new Settings.Platform(anyPort(), 100, 100, Duration.ofSeconds(2)),
                List.of(),
                new Settings.Limits(16 * 1024, 1024 * 1024, Duration.ofSeconds(30)),
                new Settings.Claims(16, Duration.ofSeconds(2)),
                new Settings.Rating(Optional.of(new InetSocketAddress(HOST, ratingPort)), 1),
                new Settings.Tls(Optional.empty(), Optional.empty()),
                new Settings.Log(false, "warn"),
                Duration.ofSeconds(5));
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(HOST, 0);
    }
}
