package org.fennelstage.vm;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fennelstage.admission.TrafficClass;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VmId;
import org.fennelstage.permit.PermitDecision;
import org.fennelstage.permit.PermitId;
import org.fennelstage.permit.PermitTerms;

/**
 * A message about a permit to send a request to a saturated backend server.
 *
 * <p>Invariant: as for {@link PeerMessage}. Implementations are immutable and thread-safe.
 */
sealed interface PermitMessage extends PeerMessage {

    /** Holder and number of a permit, and id and start time of a backend server. */
    String PERMIT =
            " ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,18})"
                    + " ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) ([0-9]{1,18})";

    /** Team of a request without one. */
    String NO_TEAM = "-";

    /**
     * A permit, the capacity, and the objective and the lease in milliseconds; then the priority
     * and the team of the request, if the VM that asks names them.
     */
    Pattern REQUEST =
            Pattern.compile(
                    "permit-request"
                            + PERMIT
                            + " ([1-9][0-9]{0,5}) ([0-9]{1,9}) ([0-9]{1,9})"
                            + "(?: ([0-9]{1,2}) (-|[A-Za-z0-9][A-Za-z0-9._-]{0,95}))?");

    /**
     * A permit, the issuing VM, whether it was issued, the number of issued permits, the limit, and
     * in milliseconds the slot time and the time until there is room.
     */
    Pattern REPLY =
            Pattern.compile(
                    "permit-reply"
                            + PERMIT
                            + " ([A-Za-z0-9][A-Za-z0-9._-]{0,95}) (true|false)"
                            + " ([0-9]{1,9}) ([0-9]{1,9}) ([0-9]{1,9}) ([0-9]{1,9})");

    /** Time at the backend server of a request that got no complete response. */
    String NOT_SERVED = "-";

    /** A permit, and how many milliseconds its request was at the backend server. */
    Pattern RETURN = Pattern.compile("permit-return" + PERMIT + " (-|[0-9]{1,9})");

    /**
     * A VM asks for a permit.
     *
     * @param permit the permit
     * @param server the backend server
     * @param terms what the request needs
     */
    record Request(PermitId permit, Incarnation server, PermitTerms terms)
            implements PermitMessage {

        public Request {
            Objects.requireNonNull(permit, "permit is null");
            Objects.requireNonNull(server, "server is null");
            Objects.requireNonNull(terms, "terms is null");
        }

        @Override
        public String text() {
            return "permit-request"
                    + permitText(permit, server)
                    + " "
                    + terms.capacity()
                    + " "
                    + terms.objective().toMillis()
                    + " "
                    + terms.lease().toMillis()
                    + terms.traffic().map(PermitMessage::trafficText).orElse("");
        }
    }

    /**
     * The reply to a {@link Request}.
     *
     * @param permit the permit
     * @param server the backend server
     * @param issuer the VM that replies
     * @param decision the decision
     */
    record Reply(PermitId permit, Incarnation server, VmId issuer, PermitDecision decision)
            implements PermitMessage {

        public Reply {
            Objects.requireNonNull(permit, "permit is null");
            Objects.requireNonNull(server, "server is null");
            Objects.requireNonNull(issuer, "issuer is null");
            Objects.requireNonNull(decision, "decision is null");
        }

        @Override
        public String text() {
            return "permit-reply"
                    + permitText(permit, server)
                    + " "
                    + issuer.value()
                    + " "
                    + decision.issued()
                    + " "
                    + decision.requests()
                    + " "
                    + decision.limit()
                    + " "
                    + decision.slotTime().toMillis()
                    + " "
                    + decision.untilRoom().toMillis();
        }
    }

    /**
     * A VM gives a permit back.
     *
     * @param permit the permit
     * @param server the backend server
     * @param atServer how long its request was at the backend server, waiting or running; empty if
     *     it got no complete response
     */
    record Return(PermitId permit, Incarnation server, Optional<Duration> atServer)
            implements PermitMessage {

        public Return {
            Objects.requireNonNull(permit, "permit is null");
            Objects.requireNonNull(server, "server is null");
            Objects.requireNonNull(atServer, "atServer is null");
        }

        @Override
        public String text() {
            final String time = atServer.map(t -> Long.toString(t.toMillis())).orElse(NOT_SERVED);
            return "permit-return" + permitText(permit, server) + " " + time;
        }
    }

    /**
     * Parses a message about a permit.
     *
     * @param text the received text
     * @return the message, empty if the text is not one
     */
    static Optional<PeerMessage> parse(final String text) {
        final Matcher request = REQUEST.matcher(text);
        if (request.matches()) {
            return Optional.of(
                    new Request(
                            permit(request),
                            server(request),
                            new PermitTerms(
                                    Integer.parseInt(request.group(5)),
                                    millis(request.group(6)),
                                    millis(request.group(7)),
                                    traffic(request))));
        }
        final Matcher reply = REPLY.matcher(text);
        if (reply.matches()) {
            return Optional.of(
                    new Reply(
                            permit(reply),
                            server(reply),
                            VmId.of(reply.group(5)),
                            new PermitDecision(
                                    Boolean.parseBoolean(reply.group(6)),
                                    Integer.parseInt(reply.group(7)),
                                    Integer.parseInt(reply.group(8)),
                                    millis(reply.group(9)),
                                    millis(reply.group(10)))));
        }
        final Matcher returned = RETURN.matcher(text);
        return returned.matches()
                ? Optional.of(
                        new Return(
                                permit(returned),
                                server(returned),
                                returned.group(5).equals(NOT_SERVED)
                                        ? Optional.empty()
                                        : Optional.of(millis(returned.group(5)))))
                : Optional.empty();
    }

    private static String trafficText(final TrafficClass traffic) {
        return " " + traffic.priority() + " " + traffic.team().map(TeamId::value).orElse(NO_TEAM);
    }

    private static Optional<TrafficClass> traffic(final Matcher request) {
        return Optional.ofNullable(request.group(8))
                .map(
                        priority ->
                                new TrafficClass(
                                        Integer.parseInt(priority),
                                        Optional.of(request.group(9))
                                                .filter(team -> !team.equals(NO_TEAM))
                                                .map(TeamId::of)));
    }

    private static String permitText(final PermitId permit, final Incarnation server) {
        return " "
                + permit.holder().value()
                + " "
                + permit.number()
                + " "
                + server.server().value()
                + " "
                + server.startMillis();
    }

    private static Duration millis(final String text) {
        return Duration.ofMillis(Long.parseLong(text));
    }

    private static PermitId permit(final Matcher matcher) {
        return new PermitId(VmId.of(matcher.group(1)), Long.parseLong(matcher.group(2)));
    }

    private static Incarnation server(final Matcher matcher) {
        return new Incarnation(
                BackendServerId.of(matcher.group(3)), Long.parseLong(matcher.group(4)));
    }
}
