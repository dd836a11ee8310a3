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
 * Measures how many requests a bad version gets until it is halted, over the whole fleet, and how
 * many good roll-outs are halted, with the real keepers and three policies on the same arrivals:
 *
 * <ul>
 *   <li>per-vm: each VM sends the step's share and halts for itself at 5 failures in 20 or more;
 *   <li>pooled: VMs send the step's share and halt on the evidence of all, one second late;
 *   <li>shares: the product: every exposure needs a granted share.
 * </ul>
 */
public final class ExposureMain {

    private static final int DATA_CENTRES = 9;
    private static final double REQUESTS_PER_VM = 3;
    private static final double ANSWER_SECONDS = 3;
    private static final double RATING_SECONDS = 10;
    private static final double RATED_SHARE = 0.3;
    private static final double MOST_SECONDS = 1800;
    private static final int PER_VM_SAMPLE = 20;
    private static final int PER_VM_FAILURES = 5;
    private static final Tolerance TOLERANCE = Tolerance.DEFAULT;
    private static final List<Double> STEPS = List.of(0.05, 0.25, 1.0);

    private enum Policy {
        PER_VM,
        POOLED,
        SHARES
    }

    private record Event(double due, int dataCentre, int vm, Signal signal, boolean isBad) {}

    private record Result(long exposed, boolean halted, boolean done, double seconds) {}

    private ExposureMain() {}

    /**
     * Prints the table.
     *
     * @param args {@code [RUNS [GOOD_RUNS]]}
     */
    public static void main(final String[] args) {
        LogSetup.apply(false, "error");
        final int runs = args.length > 0 ? Integer.parseInt(args[0]) : 40;
        final int goodRuns = args.length > 1 ? Integer.parseInt(args[1]) : 1000;
        System.out.println(
                "policy nodes signal worse_by runs halted exposed_p50 exposed_max seconds_p50");
        for (final int nodes : new int[] {9, 370}) {
            for (final Signal signal : new Signal[] {Signal.ERROR, Signal.POOR_RATING}) {
                for (final double worse : new double[] {0.01, 0.05, 0.2, 1.0}) {
                    for (final Policy policy : Policy.values()) {
                        row(policy, nodes, signal, worse, runs);
                    }
                }
            }
        }
        int falseHalts = 0;
        for (int run = 0; run < goodRuns; run++) {
            falseHalts += run(Policy.SHARES, 90, Signal.ERROR, 0, 10_000 + run).halted() ? 1 : 0;
        }
        System.out.println(
                "false halts of shares in " + goodRuns + " good roll-outs: " + falseHalts);
        cutOff(runs);
    }

    private static void row(
            final Policy policy,
            final int nodes,
            final Signal signal,
            final double worse,
            final int runs) {
        final long[] exposed = new long[runs];
        final double[] seconds = new double[runs];
        int halted = 0;
        for (int run = 0; run < runs; run++) {
            final Result result = run(policy, nodes, signal, worse, run);
            exposed[run] = result.exposed();
            seconds[run] = result.seconds();
            halted += result.halted() ? 1 : 0;
        }
        Arrays.sort(exposed);
        Arrays.sort(seconds);
        System.out.printf(
                "%s %d %s %.2f %d %d %d %d %.0f%n",
                policy,
                nodes,
                signal,
                worse,
                runs,
                halted,
                exposed[runs / 2],
                exposed[runs - 1],
                seconds[runs / 2]);
    }

    private static Result run(
            final Policy policy,
            final int nodes,
            final Signal signal,
            final double worse,
            final long seed) {
        return new Trial(policy, nodes, signal, worse, seed).play();
    }

    /** The platform goes down 20 s after the start; one data centre hears no halt either. */
    private static void cutOff(final int runs) {
        final long[] exposed = new long[runs];
        for (int run = 0; run < runs; run++) {
            final Trial trial = new Trial(Policy.SHARES, 90, Signal.POOR_RATING, 1, run);
            trial.platformDownAfter = 20;
            trial.deafDataCentre = 0;
            exposed[run] = trial.play().exposed();
        }
        Arrays.sort(exposed);
        System.out.println(
                "shares, 90 nodes, all answers poor, platform down after 20 s, one data centre cut"
                        + " off: exposed p50 "
                        + exposed[runs / 2]
                        + " max "
                        + exposed[runs - 1]);
    }

    private static final class Trial {
        private final Policy policy;
        private final int nodes;
        private final double errorRate;
        private final double poorRate;
        private final SplittableRandom random;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>((a, b) -> Double.compare(a.due(), b.due()));
        private final MemoryObjectStore store = MemoryObjectStore.empty();
        private final List<RolloutKeeper> keepers = new ArrayList<>();
        private final Evidence[] byVm;
        private final boolean[] vmHalted;
        private final boolean[] dcHalted = new boolean[DATA_CENTRES];
        private double platformDownAfter = Double.POSITIVE_INFINITY;
        private int deafDataCentre = -1;
        private double now;
        private long exposed;
        private int step;
        private boolean halted;
        private boolean done;

        Trial(
                final Policy policy,
                final int nodes,
                final Signal signal,
                final double worse,
                final long seed) {
            this.policy = policy;
            this.nodes = nodes;
            this.random = new SplittableRandom(seed);
            this.errorRate = Math.min(1, 0.01 + (signal == Signal.ERROR ? worse : 0));
            this.poorRate = Math.min(1, 0.05 + (signal == Signal.POOR_RATING ? worse : 0));
            this.byVm = new Evidence[nodes];
            this.vmHalted = new boolean[nodes];
            Arrays.fill(byVm, Evidence.none());
            final Rollout rollout =
                    new Rollout(
                            RolloutId.of("r"),
                            VersionId.of("m", "v1"),
                            VersionId.of("m", "v2"),
                            Rollout.State.RUNNING,
                            STEPS,
                            TOLERANCE);
            final InstantSource clock = () -> Instant.ofEpochMilli((long) (now * 1000));
            for (int dc = 0; dc < DATA_CENTRES; dc++) {
                keepers.add(
                        new RolloutKeeper(
                                rollout,
                                DataCentreId.of("dc-" + dc),
                                store,
                                clock,
                                ExposurePolicy.DEFAULT,
                                RATED_SHARE));
            }
        }

        Result play() {
            final double rate = nodes * REQUESTS_PER_VM;
            double nextTick = 1;
            double nextArrival = 0;
            while (now < MOST_SECONDS && !halted && !done) {
                final double event = events.isEmpty() ? Double.MAX_VALUE : events.peek().due();
                now = Math.min(Math.min(nextTick, nextArrival), event);
                if (now == nextTick) {
                    tick();
                    nextTick += 1;
                } else if (now == event) {
                    judge(events.poll());
                } else {
                    arrive(random.nextInt(nodes));
                    nextArrival = now - Math.log(1 - random.nextDouble()) / rate;
                }
            }
            final double end = now;
            return new Result(exposed, halted, done, end);
        }

        private void arrive(final int vm) {
            final int dc = vm % DATA_CENTRES;
            if (vmHalted[vm] || dcHalted[dc] || random.nextDouble() >= STEPS.get(step)) {
                return;
            }
            if (policy == Policy.SHARES && !keepers.get(dc).requestExposure().granted()) {
                return;
            }
            exposed++;
            byVm[vm] = byVm[vm].plusExposed();
            events.add(
                    new Event(
                            now + exponential(ANSWER_SECONDS),
                            dc,
                            vm,
                            Signal.ERROR,
                            random.nextDouble() < errorRate));
            if (random.nextDouble() < RATED_SHARE) {
                events.add(
                        new Event(
                                now + ANSWER_SECONDS + exponential(RATING_SECONDS),
                                dc,
                                vm,
                                Signal.POOR_RATING,
                                random.nextDouble() < poorRate));
            }
        }

        private void judge(final Event event) {
            byVm[event.vm()] = byVm[event.vm()].plus(event.signal(), event.isBad());
            if (policy == Policy.PER_VM) {
                final Evidence own = byVm[event.vm()];
                final long judged = own.judged(Signal.ERROR) + own.judged(Signal.POOR_RATING);
                final long bad = own.bad(Signal.ERROR) + own.bad(Signal.POOR_RATING);
                vmHalted[event.vm()] = judged >= PER_VM_SAMPLE && bad >= PER_VM_FAILURES;
            }
        }

        private void tick() {
            switch (policy) {
                case PER_VM -> tickPerVm();
                case POOLED -> tickPooled();
                default -> tickShares();
            }
        }

        private void tickPerVm() {
            halted = true;
            for (final boolean vm : vmHalted) {
                halted &= vm;
            }
            advanceByTime();
        }

        private void tickPooled() {
            Evidence total = Evidence.none();
            for (final Evidence evidence : byVm) {
                total = total.plus(evidence);
            }
            final var verdict =
                    ExposurePolicy.DEFAULT.evaluate(total, TOLERANCE, step, RATED_SHARE);
            halted = verdict.halt().isPresent();
            if (!halted && verdict.passed()) {
                done = step == STEPS.size() - 1;
                step = Math.min(step + 1, STEPS.size() - 1);
            }
        }

        private void advanceByTime() {
            step = Math.min(STEPS.size() - 1, (int) (now / 120));
            done = now > 600;
        }

        private void tickShares() {
            for (int vm = 0; vm < nodes; vm++) {
                keepers.get(vm % DATA_CENTRES).report("vm-" + vm, byVm[vm]);
            }
            boolean anyHalt = false;
            for (int dc = 0; dc < DATA_CENTRES; dc++) {
                if (now < platformDownAfter) {
                    keepers.get(dc).synchronizeProgress();
                }
                final var progress = keepers.get(dc).computeProgress();
                anyHalt |= progress.halted().isPresent();
                step = Math.max(step, Math.min(progress.step(), STEPS.size() - 1));
                done |= progress.done();
            }
            if (anyHalt) {
                Arrays.fill(dcHalted, true);
                if (deafDataCentre >= 0) {
                    dcHalted[deafDataCentre] =
                            keepers.get(deafDataCentre).computeProgress().halted().isPresent();
                }
            }
            halted = true;
            for (final boolean dc : dcHalted) {
                halted &= dc;
            }
        }

        private double exponential(final double mean) {
            return -Math.log(1 - random.nextDouble()) * mean;
        }
    }
}
