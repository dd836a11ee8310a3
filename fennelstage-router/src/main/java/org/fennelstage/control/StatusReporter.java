package org.fennelstage.control;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fennelstage.configuration.ConfigurationTable;
import org.fennelstage.configuration.Digest;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.id.VmId;
import org.fennelstage.member.Member;
import org.fennelstage.member.MemberTable;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.objects.VmReport;
import org.fennelstage.objects.WriteResult;
import org.fennelstage.peer.generated.Envelope;
import org.fennelstage.peer.generated.VmStatus;

/**
 * Reports to operators which configuration each VM applies. Each VM sends its status to the
 * reporter of its data centre after a change, and the reporter writes one object at most once a
 * second.
 *
 * <p>The number of writes grows with the number of changes and data centres, not of VMs.
 * Thread-safe; one monitor guards all mutable state.
 */
public final class StatusReporter {

    private static final String DUTY = "status";
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration RESEND_PERIOD = Duration.ofSeconds(30);

    private final Duties duties;
    private final MemberTable members;
    private final ConfigurationTable configuration;
    private final ObjectStore store;
    private final ScheduledExecutorService timer;
    private final InstantSource clock;
    private final BooleanSupplier ready;
    private final Map<VmId, VmReport.VmState> states = new HashMap<>();
    private Revision revision = Revision.NONE;
    private Map<VmId, VmReport.VmState> written = Map.of();
    private VmStatus lastSent = VmStatus.getDefaultInstance();
    private Optional<VmId> lastReporter = Optional.empty();
    private long lastSentMillis;
    private boolean writing;

    /**
     * Creates a reporter.
     *
     * @param duties determines the reporter of the data centre and sends messages to it
     * @param members the known VMs
     * @param configuration the configuration of this VM
     * @param store the store
     * @param timer schedules reports
     * @param clock the clock
     * @param ready whether this VM accepts requests
     */
    public StatusReporter(
            final Duties duties,
            final MemberTable members,
            final ConfigurationTable configuration,
            final ObjectStore store,
            final ScheduledExecutorService timer,
            final InstantSource clock,
            final BooleanSupplier ready) {
        this.duties = Objects.requireNonNull(duties, "duties is null");
        this.members = Objects.requireNonNull(members, "members is null");
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.ready = Objects.requireNonNull(ready, "ready is null");
    }

    /** Starts periodic reports. */
    public void start() {
        final long period = PERIOD.toMillis();
        timer.scheduleWithFixedDelay(this::tick, period, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends the status to the reporter without waiting for the next period; called after a change.
     */
    public void reportNow() {
        timer.execute(this::sendStatus);
    }

    /**
     * Handles a message if it is a status report.
     *
     * @param message the message
     * @return false if the message is of another kind
     */
    public boolean handle(final Envelope message) {
        if (message.getBodyCase() != Envelope.BodyCase.VM_STATUS) {
            return false;
        }
        recordStatus(VmId.of(message.getSender()), message.getVmStatus());
        return true;
    }

    private void tick() {
        sendStatus();
        if (duties.isMine(DUTY)) {
            write();
        }
    }

    private void sendStatus() {
        final Digest digest = configuration.digest();
        final VmStatus status =
                VmStatus.newBuilder()
                        .setHighestRevision(digest.highest().value())
                        .setConfigurationHash(digest.hash())
                        .setIncarnation(duties.incarnation())
                        .setReady(ready.getAsBoolean())
                        .build();
        final Optional<VmId> reporter = duties.holder(DUTY);
        synchronized (this) {
            final boolean isResendDue = clock.millis() - lastSentMillis >= RESEND_PERIOD.toMillis();
            if (status.equals(lastSent) && reporter.equals(lastReporter) && !isResendDue) {
                return;
            }
            lastSent = status;
            lastReporter = reporter;
            lastSentMillis = clock.millis();
        }
        if (duties.isMine(DUTY)) {
            recordStatus(duties.self(), status);
        } else {
            reporter.ifPresent(vm -> duties.send(vm, Envelope.newBuilder().setVmStatus(status)));
        }
    }

    private synchronized void recordStatus(final VmId vm, final VmStatus status) {
        states.put(
                vm,
                new VmReport.VmState(
                        status.getHighestRevision(),
                        Long.toHexString(status.getConfigurationHash()),
                        status.getIncarnation(),
                        status.getReady(),
                        ""));
    }

    private void write() {
        final Map<VmId, VmReport.VmState> current = current();
        final Revision expected;
        synchronized (this) {
            if (writing || current.equals(written)) {
                return;
            }
            writing = true;
            expected = revision;
        }
        final ObjectKey key = Keys.status(duties.dataCentre(), duties.self());
        final byte[] value = Json.write(new VmReport(clock.millis(), current));
        store.write(key, expected, value, CallPriority.BACKGROUND)
                .thenAccept(result -> onWritten(result, current));
    }

    private synchronized void onWritten(
            final WriteResult result, final Map<VmId, VmReport.VmState> current) {
        writing = false;
        if (result instanceof WriteResult.Written done) {
            revision = done.revision();
            written = current;
        } else if (result instanceof WriteResult.Conflict conflict) {
            revision = conflict.current().revision();
        }
    }

    private Map<VmId, VmReport.VmState> current() {
        final Map<VmId, VmReport.VmState> current = new HashMap<>();
        final Map<VmId, VmReport.VmState> known;
        synchronized (this) {
            known = Map.copyOf(states);
        }
        for (final Member member : members.all()) {
            if (!member.dataCentre().equals(duties.dataCentre())) {
                continue;
            }
            final VmReport.VmState state = known.get(member.id());
            final String memberState = member.state().name().toLowerCase(java.util.Locale.ROOT);
            current.put(
                    member.id(),
                    state == null
                            ? new VmReport.VmState(0, "", member.incarnation(), false, memberState)
                            : new VmReport.VmState(
                                    state.revision(),
                                    state.hash(),
                                    state.incarnation(),
                                    state.ready(),
                                    memberState));
        }
        return current;
    }
}
