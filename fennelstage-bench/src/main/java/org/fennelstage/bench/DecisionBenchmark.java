package org.fennelstage.bench;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fennelstage.admission.Admission;
import org.fennelstage.admission.ClassAdmission;
import org.fennelstage.admission.TrafficClass;
import org.fennelstage.backend.ServerLoads;
import org.fennelstage.backend.ServerSelector;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.configuration.Digest;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.model.VersionChooser;
import org.fennelstage.rollout.Evidence;
import org.fennelstage.rollout.ExposurePolicy;
import org.fennelstage.rollout.Tolerance;
import org.fennelstage.rollout.Verdict;
import org.fennelstage.speed.ServerSpeeds;
import org.fennelstage.startup.CopyRequests;
import org.fennelstage.team.KeyHash;
import org.fennelstage.team.Team;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Times single routing and rollout decisions. Run with {@code bin/bench jmh}. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {

    private static final int CANDIDATES = 4;

    /** The number of backend servers to select from. */
    @Param({"13", "67", "600"})
    public int workers;

    private final int[] candidates = new int[CANDIDATES];
    private final List<String> vms =
            IntStream.range(0, 100).mapToObj(i -> "10.0.0." + i + ":7000").toList();
    private final ServerSelector affinitySelector = ServerSelector.boundedAffinity(1.25);
    private ServerLoads loads;
    private Configuration configuration;
    private Team team;
    private Evidence evidence;
    private long prefix;
    private final ClassAdmission admission = new ClassAdmission();
    private final TrafficClass[] traffic = new TrafficClass[24 * 2];
    private long admissionMillis;

    /** Prepares random loads, eleven model versions and evidence on a new version. */
    @Setup
    public void setUp() {
        final SplittableRandom random = new SplittableRandom(5);
        loads = ServerLoads.of(WorkersMain.servers(workers));
        for (int i = 0; i < workers; i++) {
            loads.set(i, random.nextInt(8), false);
        }
        final Configuration.Builder builder = new Configuration.Builder(Digest.EMPTY);
        for (int i = 0; i < 11; i++) {
            builder.add(
                    new ModelVersion(
                            VersionId.of("m" + i % 3, "v" + i), ModelVersion.State.SERVING, 1));
        }
        configuration = builder.build();
        team =
                new Team(
                        TeamId.of("t"),
                        KeyHash.ofKey("s", "k"),
                        Set.of(),
                        Set.copyOf(List.of(ModelId.of("m0"))),
                        1,
                        1,
                        false);
        for (int i = 0; i < traffic.length; i++) {
            traffic[i] = TrafficClass.of(i % 2, Optional.of(TeamId.of("t" + i / 2)));
        }
        evidence = Evidence.of(900, new long[] {900, 300, 900, 900}, new long[] {9, 15, 0, 10});
    }

    /** Finds the backend servers with the highest affinity to a prompt prefix. */
    @Benchmark
    public int candidates() {
        ServerSelector.firstByAffinity(loads, prefix++, candidates);
        return candidates[0];
    }

    /** Selects a backend server by bounded affinity. */
    @Benchmark
    public int boundedAffinity() {
        return affinitySelector.choose(loads, prefix++);
    }

    /**
     * Decides on a request at a saturated backend server by the shares of 24 teams with two
     * priorities each; the shares are computed for every one of them, not ten times a second.
     */
    @Benchmark
    public Admission admission() {
        admissionMillis += 100;
        return admission.onRequest(
                traffic[(int) (admissionMillis / 100 % traffic.length)], 5, admissionMillis);
    }

    /** Chooses the model version of a request. */
    @Benchmark
    public VersionChooser.Choice version() {
        return VersionChooser.choose(
                configuration, team, ModelId.of("m0"), r -> VersionChooser.Status.RUNNING);
    }

    /** Finds the VM to ask for a copy of the state among 100 VMs of which half have failed. */
    @Benchmark
    public CopyRequests<String> copyRequest() {
        final CopyRequests<String> requests = new CopyRequests<>(bound -> 0);
        for (int i = 0; i < vms.size() / 2; i++) {
            requests.onFailed(vms.get(i));
        }
        requests.next(vms, 1_000);
        return requests;
    }

    /** Compares the speeds of 100 backend servers, which a VM does twice a second. */
    @Benchmark
    public List<ServerSpeeds.Change> serverSpeeds(final SpeedState state) {
        return state.update();
    }

    /** Evaluates the evidence on a new version. */
    @Benchmark
    public Verdict verdict() {
        return ExposurePolicy.DEFAULT.evaluate(evidence, Tolerance.DEFAULT, 1, 0.3);
    }
}
