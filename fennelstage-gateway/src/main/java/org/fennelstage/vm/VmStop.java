package org.fennelstage.vm;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BiConsumer;
import org.fennelstage.gateway.Gateway;
import org.fennelstage.http.HttpServer;
import org.fennelstage.id.VmId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.log.LogSetup;
import org.fennelstage.stop.Drain;

/**
 * The graceful stop of a VM: performs what {@link Drain} decides, until the exit.
 *
 * <p>Invariant: the action at the end runs once. Not thread-safe; confined to the event loop.
 */
final class VmStop {

    private static final Duration PERIOD = Duration.ofMillis(100);

    /** Period of the checks whether callers have read the last responses. */
    private static final Duration LAST_PERIOD = Duration.ofMillis(20);

    private final VmId vm;
    private final Gateway gateway;
    private final HttpServer callers;
    private final HttpServer peers;
    private final BiConsumer<Runnable, Duration> schedule;
    private final Drain drain;
    private final Runnable whenStopped;
    private boolean idleClosed;
    private boolean responded;

    /**
     * Creates a stop, which {@link #begin} begins.
     *
     * @param vm the VM
     * @param gateway its gateway
     * @param callers its listener for callers
     * @param peers its listener for other VMs
     * @param schedule runs a task after a delay, and after a pause once what others have sent
     *     meanwhile was read
     * @param drain decides
     * @param whenStopped runs at the end
     */
    VmStop(
            final VmId vm,
            final Gateway gateway,
            final HttpServer callers,
            final HttpServer peers,
            final BiConsumer<Runnable, Duration> schedule,
            final Drain drain,
            final Runnable whenStopped) {
        this.vm = Objects.requireNonNull(vm, "vm is null");
        this.gateway = Objects.requireNonNull(gateway, "gateway is null");
        this.callers = Objects.requireNonNull(callers, "callers is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.schedule = Objects.requireNonNull(schedule, "schedule is null");
        this.drain = Objects.requireNonNull(drain, "drain is null");
        this.whenStopped = Objects.requireNonNull(whenStopped, "whenStopped is null");
    }

    /** Begins to refuse what cannot end in time, and to wait for the requests in flight. */
    void begin() {
        gateway.stopAcceptingForwarded();
        callers.closeAfterResponses();
        EventLog.write(
                Event.DRAINING,
                "vm",
                vm,
                "in_flight",
                gateway.inFlight(),
                "connections",
                callers.openConnections());
        gateway.exitAfter(drain::untilLastResponses);
        proceed();
    }

    private void proceed() {
        switch (drain.next(progress())) {
            case EXIT -> {
                exit();
                return;
            }
            case RESPOND -> respondToAll();
            case CLOSE_IDLE -> {
                callers.closeIdle();
                idleClosed = true;
            }
            case SERVE -> {}
        }
        schedule.accept(this::proceed, untilNextStep());
    }

    private Drain.Progress progress() {
        final int notAccepted = callers.hasWaitingConnections() ? 1 : 0;
        return new Drain.Progress(
                idleClosed,
                gateway.inFlight() + unwritten() + notAccepted,
                callers.partialRequests(),
                callers.openConnections());
    }

    private int unwritten() {
        return callers.unwrittenResponses() + peers.unwrittenResponses();
    }

    /** The time of the last responses may come within a period. */
    private Duration untilNextStep() {
        if (responded) {
            return LAST_PERIOD;
        }
        final Duration left = drain.untilLastResponses();
        return left.compareTo(PERIOD) < 0 ? left : PERIOD;
    }

    private void respondToAll() {
        responded = true;
        final int open = gateway.inFlight();
        gateway.respondToOpenRequests();
        EventLog.write(
                Event.LAST_RESPONSES,
                "vm",
                vm,
                "responded",
                open - gateway.inFlight(),
                "streams",
                gateway.inFlight(),
                "partly_read",
                callers.partialRequests());
        callers.refusePartialRequests();
        peers.refusePartialRequests();
    }

    private void exit() {
        final int unwritten = unwritten();
        final int inFlight = gateway.inFlight();
        gateway.abortOpenRequests();
        EventLog.write(
                inFlight + unwritten == 0 ? Event.STOPPED : Event.DRAIN_TIMED_OUT,
                "vm",
                vm,
                "in_flight",
                inFlight,
                "unwritten",
                unwritten,
                "log_lines_dropped",
                LogSetup.dropped());
        whenStopped.run();
    }
}
