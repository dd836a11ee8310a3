package org.fennelstage.vm;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fennelstage.canary.RolloutAge;
import org.fennelstage.crash.ClearedCrashes;
import org.fennelstage.crash.CrashReport;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.Load;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;

/**
 * What VMs tell each other in one datagram, a line of text: a message with a few fields does not
 * pay for loading another library at every start.
 *
 * <p>Law: {@code parse(m.text())} is {@code m}, and anything that no message looks like is empty.
 * Implementations are immutable and thread-safe.
 */
sealed interface PeerMessage {

    /** Id and birth of a worker; a name has no blank or comma. */
    Pattern UNREACHABLE =
            Pattern.compile("unreachable ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,18})");

    /** Id and birth of a worker. */
    Pattern LEAVING = Pattern.compile("leaving ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,18})");

    /** The VM that tells, and any number of loads. */
    Pattern LOADS = Pattern.compile("loads ([A-Za-z0-9][A-Za-z0-9._-]{0,95})((?: [^ ]+)*)");

    /** The VM that tells, the number of the part, and any number of loads. */
    Pattern LOAD_SUMS =
            Pattern.compile("sums ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,4})((?: [^ ]+)*)");

    /** Id, requests, and milliseconds of prompts not yet read. */
    Pattern LOAD = Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]{0,95}),([0-9]{1,6}),([0-9]{1,9})");

    /** Service, version, era and revision, and milliseconds since the order. */
    Pattern ROLLOUT =
            Pattern.compile(
                    "rollout ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([^ ]{1,95}) ([0-9]{1,18})"
                            + " ([0-9]{1,18}) ([0-9]{1,9})");

    /** Id and birth of a worker, and 16 digits of each request. */
    Pattern CRASH =
            Pattern.compile(
                    "crash ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,18})((?: [0-9a-f]{16})+)");

    /** 16 digits of the request, and ids and births of workers. */
    Pattern ANSWERED =
            Pattern.compile(
                    "answered ([0-9a-f]{16})"
                            + "((?: [A-Za-z0-9][A-Za-z0-9._-]{0,95},[0-9]{1,18})+)");

    /**
     * A worker could not be reached.
     *
     * @param server the worker and which of its lives
     */
    record Unreachable(Incarnation server) implements PeerMessage {

        public Unreachable {
            Objects.requireNonNull(server, "server is null");
        }

        @Override
        public String text() {
            return "unreachable " + server.server().value() + " " + server.startMillis();
        }
    }

    /**
     * A worker said in an answer that it leaves.
     *
     * @param server the worker and which of its lives
     */
    record Leaving(Incarnation server) implements PeerMessage {

        public Leaving {
            Objects.requireNonNull(server, "server is null");
        }

        @Override
        public String text() {
            return "leaving " + server.server().value() + " " + server.startMillis();
        }
    }

    /**
     * What a VM has at the workers.
     *
     * @param vm the VM
     * @param loads its requests at each worker that has any
     */
    record Loads(VmId vm, Map<BackendServerId, Load> loads) implements PeerMessage {

        public Loads {
            Objects.requireNonNull(vm, "vm is null");
            loads = Map.copyOf(loads);
        }

        @Override
        public String text() {
            return "loads " + vm.value() + loadsText(loads);
        }
    }

    /**
     * What the VMs have at the workers that tell their loads to one VM, that VM's own included.
     *
     * @param collector the VM that tells
     * @param part the number of this part of what it tells
     * @param loads the sums for the workers in this part that have any
     */
    record LoadSums(VmId collector, int part, Map<BackendServerId, Load> loads)
            implements PeerMessage {

        public LoadSums {
            Objects.requireNonNull(collector, "collector is null");
            loads = Map.copyOf(loads);
        }

        @Override
        public String text() {
            return "sums " + collector.value() + " " + part + loadsText(loads);
        }
    }

    /**
     * A roll-out runs.
     *
     * @param age how long ago it was ordered
     */
    record Rollout(RolloutAge age) implements PeerMessage {

        public Rollout {
            Objects.requireNonNull(age, "age is null");
        }

        @Override
        public String text() {
            return "rollout %s %s %d %d %d"
                    .formatted(
                            age.service(),
                            age.target(),
                            age.position().era(),
                            age.position().revision(),
                            age.millis());
        }
    }

    /**
     * A worker ended.
     *
     * @param report which, and which requests it had
     */
    record Crash(CrashReport report) implements PeerMessage {

        public Crash {
            Objects.requireNonNull(report, "report is null");
        }

        @Override
        public String text() {
            final StringBuilder text = new StringBuilder("crash ");
            text.append(report.server().server().value());
            text.append(' ').append(report.server().startMillis());
            report.contents().forEach(content -> text.append(' ').append(content));
            return text.toString();
        }
    }

    /**
     * A request was answered under which workers had ended.
     *
     * @param acquittal the request and the workers
     */
    record Answered(ClearedCrashes acquittal) implements PeerMessage {

        public Answered {
            Objects.requireNonNull(acquittal, "acquittal is null");
        }

        @Override
        public String text() {
            final StringBuilder text = new StringBuilder("answered ");
            text.append(acquittal.content());
            acquittal
                    .servers()
                    .forEach(
                            server ->
                                    text.append(' ')
                                            .append(server.server().value())
                                            .append(',')
                                            .append(server.startMillis()));
            return text.toString();
        }
    }

    /** Returns the message as it travels. */
    String text();

    /**
     * Reads a message.
     *
     * @param text what arrived
     * @return the message, empty for anything else
     */
    static Optional<PeerMessage> parse(final String text) {
        final Matcher unreachable = UNREACHABLE.matcher(text);
        if (unreachable.matches()) {
            return Optional.of(
                    new Unreachable(incarnation(unreachable.group(1), unreachable.group(2))));
        }
        final Matcher rollout = ROLLOUT.matcher(text);
        if (rollout.matches()) {
            return Optional.of(
                    new Rollout(
                            new RolloutAge(
                                    ServiceName.of(rollout.group(1)),
                                    rollout.group(2),
                                    Position.of(
                                            Long.parseLong(rollout.group(3)),
                                            Long.parseLong(rollout.group(4))),
                                    Long.parseLong(rollout.group(5)))));
        }
        final Matcher leaving = LEAVING.matcher(text);
        if (leaving.matches()) {
            return Optional.of(new Leaving(incarnation(leaving.group(1), leaving.group(2))));
        }
        final Matcher crash = CRASH.matcher(text);
        if (crash.matches()) {
            final Incarnation server = incarnation(crash.group(1), crash.group(2));
            return Optional.of(new Crash(new CrashReport(server, contents(crash.group(3)))));
        }
        final Matcher answered = ANSWERED.matcher(text);
        if (answered.matches()) {
            final Fingerprint content = Fingerprint.parse(answered.group(1));
            return Optional.of(
                    new Answered(new ClearedCrashes(content, incarnations(answered.group(2)))));
        }
        final Matcher sums = LOAD_SUMS.matcher(text);
        if (sums.matches()) {
            return Optional.of(
                    new LoadSums(
                            VmId.of(sums.group(1)),
                            Integer.parseInt(sums.group(2)),
                            loads(sums.group(3))));
        }
        final Matcher loads = LOADS.matcher(text);
        return loads.matches()
                ? Optional.of(new Loads(VmId.of(loads.group(1)), loads(loads.group(2))))
                : Optional.empty();
    }

    private static String loadsText(final Map<BackendServerId, Load> loads) {
        final StringBuilder text = new StringBuilder();
        loads.forEach(
                (server, load) ->
                        text.append(' ')
                                .append(server.value())
                                .append(',')
                                .append(load.running())
                                .append(',')
                                .append(load.unreadMillis()));
        return text.toString();
    }

    private static Incarnation incarnation(final String id, final String bornMillis) {
        return new Incarnation(BackendServerId.of(id), Long.parseLong(bornMillis));
    }

    private static Set<Fingerprint> contents(final String words) {
        final Set<Fingerprint> contents = new HashSet<>();
        for (final String word : words.strip().split(" ")) {
            contents.add(Fingerprint.parse(word));
        }
        return contents;
    }

    private static Set<Incarnation> incarnations(final String words) {
        final Set<Incarnation> incarnations = new HashSet<>();
        for (final String word : words.strip().split(" ")) {
            final int comma = word.indexOf(',');
            incarnations.add(incarnation(word.substring(0, comma), word.substring(comma + 1)));
        }
        return incarnations;
    }

    private static Map<BackendServerId, Load> loads(final String entries) {
        final Map<BackendServerId, Load> loads = new HashMap<>();
        final Matcher entry = LOAD.matcher(entries);
        while (entry.find()) {
            loads.put(
                    BackendServerId.of(entry.group(1)),
                    new Load(Integer.parseInt(entry.group(2)), Long.parseLong(entry.group(3))));
        }
        return loads;
    }
}
