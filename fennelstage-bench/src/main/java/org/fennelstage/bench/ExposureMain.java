package org.fennelstage.bench;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.fennelstage.control.RolloutKeeper;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.VersionId;
import org.fennelstage.log.LogSetup;
import org.fennelstage.objects.MemoryObjectStore;
import org.fennelstage.rollout.Evidence;
import org.fennelstage.rollout.ExposurePolicy;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.rollout.Signal;
import org.fennelstage.rollout.Tolerance;

/**
 * Compares rollout policies by simulation: how many requests the fleet sends to a bad new version
 * until the rollout is halted, and how many rollouts of good versions are halted. The policy of the
 * product runs with its {@link RolloutKeeper}s.
 */
public final class ExposureMain {

    private static final int DATA_CENTRES = 9;
    private static final double REQUESTS_PER_VM_SECOND = 3;
    private static final double MEAN_RESPONSE_SECONDS = 3;
    private static final double MEAN_RATING_SECONDS = 10;
    private static final double RATED_SHARE = 0.3;
    private static final double BASE_ERROR_RATE = 0.01;
    private static final double BASE_POOR_RATE = 0.05;
    private static final double MAX_SECONDS = 1800;
    private static final int PER_VM_MIN_JUDGED = 20;
    private static final int PER_VM_MIN_BAD = 5;
    private static final double PER_VM_STEP_SECONDS = 120;
    private static final double PER_VM_ROLLOUT_SECONDS = 600;
    private static final Tolerance TOLERANCE = Tolerance.DEFAULT;
    private static final List<Double> STEP_FRACTIONS = List.of(0.05, 0.25, 1.0);

    private enum Policy {
        /** Each VM halts on its own evidence; steps pass after a fixed time. */
        PER_VM,
        /** The evidence of all VMs is evaluated every second. */
        POOLED,
        /** The policy of the product: every exposure has to be granted by a keeper. */
        SHARES
    }

    /**
     * A request becomes judged on one signal.
     *
     * @param due the virtual time; seconds
     * @param dataCentre the index of the data centre
     * @param vm the index of the VM that sent the request
     * @param signal the signal
     * @param isBad whether it is judged bad
     */
    private record Event(double due, int dataCentre, int vm, Signal signal, boolean isBad) {}

    /**
     * The end of a simulated rollout.
     *
     * @param exposed the number of requests sent to the new version
     * @param halted whether the rollout was halted
     * @param done whether the rollout was completed
     * @param seconds the virtual time of the end; seconds
     */
    private record Result(long exposed, boolean halted, boolean done, double seconds) {}

    private ExposureMain() {}

    /**
     * Prints a row for each policy, fleet size and failure rate.
     *
     * @param args {@code [RUNS [GOOD_RUNS]]}: the number of rollouts per row, and of rollouts of
     *     good versions
     */
    public static void main(final String[] args) {
        LogSetup.apply(false, "error");
        final int runs = args.length > 0 ? Integer.parseInt(args[0]) : 40;
        final int goodRuns = args.length > 1 ? Integer.parseInt(args[1]) : 1000;
        System.out.println(
                "policy vms signal added_failure_rate runs halted exposed_p50 exposed_max seconds_p50");
        for (final int vmCount : new int[] {9, 370}) {
            for (final Signal signal : new Signal[] {Signal.ERROR, Signal.POOR_RATING}) {
                for (final double addedFailureRate : new double[] {0.01, 0.05, 0.2, 1.0}) {
                    for (final Policy policy : Policy.values()) {
                        printRow(policy, vmCount, signal, addedFailureRate, runs);
                    }
                }
            }
        }
        int falseHalts = 0;
        for (int run = 0; run < goodRuns; run++) {
            falseHalts +=
                    simulate(Policy.SHARES, 90, Signal.ERROR, 0, 10_000 + run).halted() ? 1 : 0;
        }
        System.out.println(
                "false halts with SHARES in "
                        + goodRuns
                        + " rollouts of good versions: "
                        + falseHalts);
        printIsolatedDataCentre(runs);
    }

    private static void printRow(
            final Policy policy,
            final int vmCount,
            final Signal signal,
            final double addedFailureRate,
            final int runs) {
        final long[] exposed = new long[runs];
        final double[] seconds = new double[runs];
        int halted = 0;
        for (int run = 0; run < runs; run++) {
            final Result result = simulate(policy, vmCount, signal, addedFailureRate, run);
            exposed[run] = result.exposed();
            seconds[run] = result.seconds();
            halted += result.halted() ? 1 : 0;
        }
        Arrays.sort(exposed);
        Arrays.sort(seconds);
        System.out.printf(
                "%s %d %s %.2f %d %d %d %d %.0f%n",
                policy,
                vmCount,
                signal,
                addedFailureRate,
                runs,
                halted,
                exposed[runs / 2],
                exposed[runs - 1],
                seconds[runs / 2]);
    }

    private static Result simulate(
            final Policy policy,
            final int vmCount,
            final Signal signal,
            final double addedFailureRate,
            final long seed) {
        return new Simulation(policy, vmCount, signal, addedFailureRate, seed).run();
    }

    /**
     * Prints the exposures while the store is unavailable from 20 s after the start, and one data
     * centre does not receive halts of the others.
     */
    private static void printIsolatedDataCentre(final int runs) {
        final long[] exposed = new long[runs];
        for (int run = 0; run < runs; run++) {
            final Simulation simulation =
                    new Simulation(Policy.SHARES, 90, Signal.POOR_RATING, 1, run);
            simulation.storeUnavailableAfter = 20;
            simulation.isolatedDataCentre = 0;
            exposed[run] = simulation.run().exposed();
        }
        Arrays.sort(exposed);
        System.out.println(
                "SHARES, 90 VMs, all answers poor, store unavailable after 20 s, one data centre"
                        + " isolated: exposed p50 "
                        + exposed[runs / 2]
                        + " max "
                        + exposed[runs - 1]);
    }

    private static final class Simulation {
        private final Policy policy;
        private final int vmCount;
        private final double errorRate;
        private final double poorRate;
        private final SplittableRandom random;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>((a, b) -> Double.compare(a.due(), b.due()));
        private final MemoryObjectStore store = MemoryObjectStore.empty();
        private final List<RolloutKeeper> keepers = new ArrayList<>();
        private final Evidence[] evidenceByVm;
        private final boolean[] vmHalted;
        private final boolean[] dataCentreHalted = new boolean[DATA_CENTRES];
        private double storeUnavailableAfter = Double.POSITIVE_INFINITY;
        private int isolatedDataCentre = -1;
        private double now;
        private long exposed;
        private int step;
        private boolean halted;
        private boolean done;

        Simulation(
                final Policy policy,
                final int vmCount,
                final Signal signal,
                final double addedFailureRate,
                final long seed) {
            this.policy = policy;
            this.vmCount = vmCount;
            this.random = new SplittableRandom(seed);
            this.errorRate =
                    Math.min(1, BASE_ERROR_RATE + (signal == Signal.ERROR ? addedFailureRate : 0));
            this.poorRate =
                    Math.min(
                            1,
                            BASE_POOR_RATE + (signal == Signal.POOR_RATING ? addedFailureRate : 0));
            this.evidenceByVm = new Evidence[vmCount];
            this.vmHalted = new boolean[vmCount];
            Arrays.fill(evidenceByVm, Evidence.none());
            final Rollout rollout =
                    new Rollout(
                            RolloutId.of("r"),
                            VersionId.of("m", "v1"),
                            VersionId.of("m", "v2"),
                            Rollout.State.RUNNING,
                            STEP_FRACTIONS,
                            TOLERANCE);
            final InstantSource clock = () -> Instant.ofEpochMilli((long) (now * 1000));
            for (int dataCentre = 0; dataCentre < DATA_CENTRES; dataCentre++) {
                keepers.add(
                        new RolloutKeeper(
                                rollout,
                                DataCentreId.of("dc-" + dataCentre),
                                store,
                                clock,
                                ExposurePolicy.DEFAULT,
                                RATED_SHARE));
            }
        }

        Result run() {
            final double rate = vmCount * REQUESTS_PER_VM_SECOND;
            double nextTick = 1;
            double nextArrival = 0;
            while (now < MAX_SECONDS && !halted && !done) {
                final double nextEvent = events.isEmpty() ? Double.MAX_VALUE : events.peek().due();
                now = Math.min(Math.min(nextTick, nextArrival), nextEvent);
                if (now == nextTick) {
                    onTick();
                    nextTick += 1;
                } else if (now == nextEvent) {
                    onEvent(events.poll());
                } else {
                    onArrival(random.nextInt(vmCount));
                    nextArrival = now - Math.log(1 - random.nextDouble()) / rate;
                }
            }
            final double endSeconds = now;
            return new Result(exposed, halted, done, endSeconds);
        }

        private void onArrival(final int vm) {
            final int dataCentre = vm % DATA_CENTRES;
            if (vmHalted[vm]
                    || dataCentreHalted[dataCentre]
                    || random.nextDouble() >= STEP_FRACTIONS.get(step)) {
                return;
            }
            if (policy == Policy.SHARES && !keepers.get(dataCentre).requestExposure().granted()) {
                return;
            }
            exposed++;
            evidenceByVm[vm] = evidenceByVm[vm].plusExposed();
            events.add(
                    new Event(
                            now + exponential(MEAN_RESPONSE_SECONDS),
                            dataCentre,
                            vm,
                            Signal.ERROR,
                            random.nextDouble() < errorRate));
            if (random.nextDouble() < RATED_SHARE) {
                events.add(
                        new Event(
                                now + MEAN_RESPONSE_SECONDS + exponential(MEAN_RATING_SECONDS),
                                dataCentre,
                                vm,
                                Signal.POOR_RATING,
                                random.nextDouble() < poorRate));
            }
        }

        private void onEvent(final Event event) {
            evidenceByVm[event.vm()] = evidenceByVm[event.vm()].plus(event.signal(), event.isBad());
            if (policy == Policy.PER_VM) {
                final Evidence evidence = evidenceByVm[event.vm()];
                final long judged =
                        evidence.judged(Signal.ERROR) + evidence.judged(Signal.POOR_RATING);
                final long bad = evidence.bad(Signal.ERROR) + evidence.bad(Signal.POOR_RATING);
                vmHalted[event.vm()] = judged >= PER_VM_MIN_JUDGED && bad >= PER_VM_MIN_BAD;
            }
        }

        private void onTick() {
            switch (policy) {
                case PER_VM -> haltPerVm();
                case POOLED -> evaluatePooled();
                default -> runKeepers();
            }
        }

        private void haltPerVm() {
            halted = true;
            for (final boolean isHalted : vmHalted) {
                halted &= isHalted;
            }
            advanceByTime();
        }

        private void evaluatePooled() {
            Evidence total = Evidence.none();
            for (final Evidence evidence : evidenceByVm) {
                total = total.plus(evidence);
            }
            final var verdict =
                    ExposurePolicy.DEFAULT.evaluate(total, TOLERANCE, step, RATED_SHARE);
            halted = verdict.halt().isPresent();
            if (!halted && verdict.passed()) {
                done = step == STEP_FRACTIONS.size() - 1;
                step = Math.min(step + 1, STEP_FRACTIONS.size() - 1);
            }
        }

        private void advanceByTime() {
            step = Math.min(STEP_FRACTIONS.size() - 1, (int) (now / PER_VM_STEP_SECONDS));
            done = now > PER_VM_ROLLOUT_SECONDS;
        }

        private void runKeepers() {
            for (int vm = 0; vm < vmCount; vm++) {
                keepers.get(vm % DATA_CENTRES).report("vm-" + vm, evidenceByVm[vm]);
            }
            boolean anyHalt = false;
            for (int dataCentre = 0; dataCentre < DATA_CENTRES; dataCentre++) {
                if (now < storeUnavailableAfter) {
                    keepers.get(dataCentre).synchronizeProgress();
                }
                final var progress = keepers.get(dataCentre).computeProgress();
                anyHalt |= progress.halted().isPresent();
                step = Math.max(step, Math.min(progress.step(), STEP_FRACTIONS.size() - 1));
                done |= progress.done();
            }
            if (anyHalt) {
                Arrays.fill(dataCentreHalted, true);
                if (isolatedDataCentre >= 0) {
                    dataCentreHalted[isolatedDataCentre] =
                            keepers.get(isolatedDataCentre).computeProgress().halted().isPresent();
                }
            }
            halted = true;
            for (final boolean isHalted : dataCentreHalted) {
                halted &= isHalted;
            }
        }

        private double exponential(final double mean) {
            return -Math.log(1 - random.nextDouble()) * mean;
        }
    }
}
