package org.fennelstage.vm;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fennelstage.canary.RolloutAge;
import org.fennelstage.crash.ClearedCrashes;
import org.fennelstage.crash.CrashReport;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.RequestFingerprints;
import org.fennelstage.fleet.Departure;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.Outcomes;
import org.fennelstage.fleet.Pace;
import org.fennelstage.fleet.RateLimit;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.fennelstage.store.StoreKind;

/**
 * A message between VMs, sent as one line of text in a datagram.
 *
 * <p>Invariant: {@code parse(m.text())} equals {@code m}, and text that is no message parses to
 * empty. Implementations are immutable and thread-safe.
 *
 * <p>Repeated groups are possessive: others take a part of the stack for each repetition, and a
 * datagram holds more words than the stack of the event loop.
 */
sealed interface PeerMessage
        permits PeerMessage.Unreachable,
                PeerMessage.Draining,
                PeerMessage.Departed,
                PeerMessage.Changed,
                PeerMessage.Limit,
                PeerMessage.Loads,
                PeerMessage.LoadSums,
                PeerMessage.Rollout,
                EvidenceMessage,
                PeerMessage.Crash,
                PeerMessage.CrashesCleared,
                PeerMessage.GivesCopies,
                PermitMessage {

    /** Separates the fingerprints of one request. */
    String FINGERPRINT_SEPARATOR = ",";

    /** Rate in a message about a limit that has ended. */
    String NO_LIMIT = "-";

    /** Id and start time of a backend server. Ids contain no space or comma. */
    Pattern UNREACHABLE =
            Pattern.compile("unreachable ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,18})");

    /** Id and start time of a backend server. */
    Pattern DRAINING = Pattern.compile("leaving ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,18})");

    /** Id and start time of a backend server, era and revision, and whether it was removed. */
    Pattern DEPARTED =
            Pattern.compile(
                    "departed ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,18}) ([0-9]{1,18})"
                            + " ([0-9]{1,18}) (true|false)");

    /** Id of a VM. */
    Pattern GIVES_COPIES = Pattern.compile("copies ([A-Za-z0-9][A-Za-z0-9._-]{0,95})");

    /** Kinds of objects whose changes VMs report to each other. */
    List<StoreKind<?>> REPORTED_KINDS =
            List.of(StoreKind.CONFIGURATION, StoreKind.ROLLOUTS, StoreKind.EVACUATIONS);

    /** Kind of objects, era and revision. */
    Pattern CHANGED = Pattern.compile("changed ([a-z]{1,20}) ([0-9]{1,18}) ([0-9]{1,18})");

    /** Id and start time of a backend server, and requests per second, or "-" for no limit. */
    Pattern LIMIT =
            Pattern.compile(
                    "limit ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,18})"
                            + " (-|[0-9]{1,9}(?:\\.[0-9]{1,20})?(?:E-?[0-9]{1,3})?)");

    /** Sending VM and any number of loads. */
    Pattern LOADS = Pattern.compile("loads ([A-Za-z0-9][A-Za-z0-9._-]{0,95})((?: [^ ]++)*+)");

    /** Sending VM, number of the part, and any number of loads. */
    Pattern LOAD_SUMS =
            Pattern.compile("sums ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,4})((?: [^ ]++)*+)");

    /**
     * Id of a backend server, its requests, and milliseconds of unread prompts; then, if there are
     * outcomes, its start time and hundredths of responses and of excess failures; then, if there
     * is a pace, the start time and hundredths of samples and of the sum of logarithms. What
     * follows the milliseconds contains no comma: a pattern without it finds the same id, requests
     * and milliseconds.
     */
    Pattern LOAD =
            Pattern.compile(
                    "([A-Za-z0-9][A-Za-z0-9._-]{0,95}),([0-9]{1,6}),([0-9]{1,9})"
                            + "(?:/([0-9]{1,18})/([0-9]{1,9})/(-?[0-9]{1,9}))?"
                            + "(?:@([0-9]{1,18})/([0-9]{1,9})/(-?[0-9]{1,9}))?");

    /** Service, version, era and revision, and milliseconds since the order. */
    Pattern ROLLOUT =
            Pattern.compile(
                    "rollout ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([^ ]{1,95}) ([0-9]{1,18})"
                            + " ([0-9]{1,18}) ([0-9]{1,9})");

    /**
     * Id and start time of a backend server, and requests: the fingerprints of the content and of
     * the shared parts, of 16 hexadecimal digits each.
     */
    Pattern CRASH =
            Pattern.compile(
                    "crash ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,18})"
                            + "((?: [0-9a-f]{16}(?:,[0-9a-f]{16})*+)++)");

    /** Fingerprint of 16 hexadecimal digits, and ids and start times of backend servers. */
    Pattern CRASHES_CLEARED =
            Pattern.compile(
                    "answered ([0-9a-f]{16})"
                            + "((?: [A-Za-z0-9][A-Za-z0-9._-]{0,95},[0-9]{1,18})++)");

    /**
     * A backend server could not be reached.
     *
     * @param server the incarnation of the backend server
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
     * A backend server reported in a response that it is draining.
     *
     * @param server the incarnation of the backend server
     */
    record Draining(Incarnation server) implements PeerMessage {

        public Draining {
            Objects.requireNonNull(server, "server is null");
        }

        @Override
        public String text() {
            return "leaving " + server.server().value() + " " + server.startMillis();
        }
    }

    /**
     * A VM has lost the store and gives copies of its state to VMs that start. What counts is the
     * address it comes from.
     *
     * @param vm the VM
     */
    record GivesCopies(VmId vm) implements PeerMessage {

        public GivesCopies {
            Objects.requireNonNull(vm, "vm is null");
        }

        @Override
        public String text() {
            return "copies " + vm.value();
        }
    }

    /**
     * The store shows a backend server as draining, or has removed its entry.
     *
     * @param departure the change in the store
     */
    record Departed(Departure departure) implements PeerMessage {

        public Departed {
            Objects.requireNonNull(departure, "departure is null");
        }

        @Override
        public String text() {
            return "departed %s %d %d %d %s"
                    .formatted(
                            departure.server().server().value(),
                            departure.server().startMillis(),
                            departure.position().era(),
                            departure.position().revision(),
                            departure.removed());
        }
    }

    /**
     * The store has a change.
     *
     * @param kind the kind of the changed object, one of {@link #REPORTED_KINDS}
     * @param position the position of the change
     */
    record Changed(StoreKind<?> kind, Position position) implements PeerMessage {

        public Changed {
            Objects.requireNonNull(kind, "kind is null");
            Objects.requireNonNull(position, "position is null");
        }

        @Override
        public String text() {
            return "changed %s %d %d".formatted(kind, position.era(), position.revision());
        }
    }

    /**
     * A backend server reported a rate limit in a response, or responded without the one that it
     * had.
     *
     * @param server the incarnation of the backend server
     * @param limit the limit, empty if it has ended
     */
    record Limit(Incarnation server, Optional<RateLimit> limit) implements PeerMessage {

        public Limit {
            Objects.requireNonNull(server, "server is null");
            Objects.requireNonNull(limit, "limit is null");
        }

        @Override
        public String text() {
            final String rate =
                    limit.map(l -> Double.toString(l.requestsPerSecond())).orElse(NO_LIMIT);
            return "limit " + server.server().value() + " " + server.startMillis() + " " + rate;
        }
    }

    /**
     * A VM's load at the backend servers.
     *
     * @param vm the VM
     * @param loads its load at each backend server that has any, or outcomes
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
     * Sums of the loads of the VMs that report to one collector, the collector's own included.
     *
     * @param collector the VM that sends the sums
     * @param part the number of this part of the sums
     * @param loads the sums for the backend servers in this part
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
     * A rollout is running.
     *
     * @param age the time since its order
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
     * A backend server crashed.
     *
     * @param report its incarnation and the requests it was running
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
            for (final RequestFingerprints request : report.requests()) {
                final String fingerprints =
                        request.all()
                                .map(Fingerprint::toString)
                                .collect(Collectors.joining(FINGERPRINT_SEPARATOR));
                text.append(' ').append(fingerprints);
            }
            return text.toString();
        }
    }

    /**
     * A request with a content or part got a response, so earlier crashes no longer count against
     * it.
     *
     * @param crashes the fingerprint of the content or part, and the crashed backend servers
     */
    record CrashesCleared(ClearedCrashes crashes) implements PeerMessage {

        public CrashesCleared {
            Objects.requireNonNull(crashes, "crashes is null");
        }

        @Override
        public String text() {
            final StringBuilder text = new StringBuilder("answered ");
            text.append(crashes.suspect());
            crashes.servers()
                    .forEach(
                            server ->
                                    text.append(' ')
                                            .append(server.server().value())
                                            .append(',')
                                            .append(server.startMillis()));
            return text.toString();
        }
    }

    /** Returns the text that is sent. */
    String text();

    /**
     * Parses a message.
     *
     * @param text the received text
     * @return the message, empty if the text is not one
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
        final Optional<PeerMessage> evidence = EvidenceMessage.parse(text);
        if (evidence.isPresent()) {
            return evidence;
        }
        final Matcher draining = DRAINING.matcher(text);
        if (draining.matches()) {
            return Optional.of(new Draining(incarnation(draining.group(1), draining.group(2))));
        }
        final Matcher departed = DEPARTED.matcher(text);
        if (departed.matches()) {
            return Optional.of(new Departed(departure(departed)));
        }
        final Matcher changed = CHANGED.matcher(text);
        if (changed.matches()) {
            return changed(changed);
        }
        final Matcher limit = LIMIT.matcher(text);
        if (limit.matches()) {
            return Optional.of(
                    new Limit(incarnation(limit.group(1), limit.group(2)), limit(limit.group(3))));
        }
        final Matcher crash = CRASH.matcher(text);
        if (crash.matches()) {
            final Incarnation server = incarnation(crash.group(1), crash.group(2));
            return Optional.of(new Crash(new CrashReport(server, requests(crash.group(3)))));
        }
        final Matcher cleared = CRASHES_CLEARED.matcher(text);
        if (cleared.matches()) {
            final Fingerprint content = Fingerprint.parse(cleared.group(1));
            return Optional.of(
                    new CrashesCleared(
                            new ClearedCrashes(content, incarnations(cleared.group(2)))));
        }
        final Matcher givesCopies = GIVES_COPIES.matcher(text);
        if (givesCopies.matches()) {
            return Optional.of(new GivesCopies(VmId.of(givesCopies.group(1))));
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
                : PermitMessage.parse(text);
    }

    /**
     * Returns what a load adds to the text of a message.
     *
     * @param server the backend server
     * @param load the load there
     * @return the text, with a space before it
     */
    static String loadText(final BackendServerId server, final Load load) {
        return " "
                + server.value()
                + ","
                + load.running()
                + ","
                + load.unreadMillis()
                + outcomesText(load.outcomes())
                + paceText(load.pace());
    }

    private static String loadsText(final Map<BackendServerId, Load> loads) {
        final StringBuilder text = new StringBuilder();
        loads.forEach((server, load) -> text.append(loadText(server, load)));
        return text.toString();
    }

    private static String outcomesText(final Outcomes outcomes) {
        return outcomes.responseUnits() == 0
                ? ""
                : "/"
                        + outcomes.startMillis()
                        + "/"
                        + outcomes.responseUnits()
                        + "/"
                        + outcomes.excessUnits();
    }

    private static String paceText(final Pace pace) {
        return pace.sampleUnits() == 0
                ? ""
                : "@" + pace.startMillis() + "/" + pace.sampleUnits() + "/" + pace.logUnits();
    }

    private static Incarnation incarnation(final String id, final String startMillis) {
        return new Incarnation(BackendServerId.of(id), Long.parseLong(startMillis));
    }

    private static Departure departure(final Matcher departed) {
        return new Departure(
                incarnation(departed.group(1), departed.group(2)),
                Position.of(Long.parseLong(departed.group(3)), Long.parseLong(departed.group(4))),
                Boolean.parseBoolean(departed.group(5)));
    }

    private static Optional<PeerMessage> changed(final Matcher changed) {
        final Position position =
                Position.of(Long.parseLong(changed.group(2)), Long.parseLong(changed.group(3)));
        return REPORTED_KINDS.stream()
                .filter(kind -> kind.toString().equals(changed.group(1)))
                .findFirst()
                .map(kind -> new Changed(kind, position));
    }

    private static Optional<RateLimit> limit(final String rate) {
        return rate.equals(NO_LIMIT) ? Optional.empty() : RateLimit.of(Double.parseDouble(rate));
    }

    private static Set<RequestFingerprints> requests(final String list) {
        final Set<RequestFingerprints> requests = new HashSet<>();
        for (final String item : list.strip().split(" ")) {
            final List<Fingerprint> fingerprints =
                    Stream.of(item.split(FINGERPRINT_SEPARATOR)).map(Fingerprint::parse).toList();
            requests.add(
                    new RequestFingerprints(
                            fingerprints.get(0), fingerprints.subList(1, fingerprints.size())));
        }
        return requests;
    }

    private static Set<Incarnation> incarnations(final String list) {
        final Set<Incarnation> incarnations = new HashSet<>();
        for (final String item : list.strip().split(" ")) {
            final int comma = item.indexOf(',');
            incarnations.add(incarnation(item.substring(0, comma), item.substring(comma + 1)));
        }
        return incarnations;
    }

    private static Map<BackendServerId, Load> loads(final String entries) {
        final Map<BackendServerId, Load> loads = new HashMap<>();
        final Matcher entry = LOAD.matcher(entries);
        while (entry.find()) {
            loads.put(
                    BackendServerId.of(entry.group(1)),
                    new Load(
                            Integer.parseInt(entry.group(2)),
                            Long.parseLong(entry.group(3)),
                            outcomes(entry),
                            pace(entry)));
        }
        return loads;
    }

    private static Outcomes outcomes(final Matcher entry) {
        return entry.group(4) == null
                ? Outcomes.NONE
                : Outcomes.ofUnits(
                        Long.parseLong(entry.group(4)),
                        Long.parseLong(entry.group(5)),
                        Long.parseLong(entry.group(6)));
    }

    private static Pace pace(final Matcher entry) {
        return entry.group(7) == null
                ? Pace.NONE
                : Pace.ofUnits(
                        Long.parseLong(entry.group(7)),
                        Long.parseLong(entry.group(8)),
                        Long.parseLong(entry.group(9)));
    }
}
