package org.fennelstage.route;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.control.Bills;
import org.fennelstage.control.Claims;
import org.fennelstage.control.Duties;
import org.fennelstage.control.LoadLedger;
import org.fennelstage.control.Rollouts;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.RequestHandler;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.request.RequestIds;
import org.fennelstage.request.RetryBudget;

/** Routes callers' requests on one VM to backend servers. Thread-safe. */
public final class Router implements RequestHandler {

    private static final double RETRY_SHARE = 0.1;
    private static final double RETRY_RESERVE = 10;

    private final RouterComponents components;
    private final DataCentreId dataCentre;
    private final CallerApi api;
    private final LoadLedger ledger;
    private final Map<EventLoop, EventLoopContext> loopContexts = new ConcurrentHashMap<>();
    private volatile boolean draining;

    /**
     * The components that a router uses.
     *
     * @param configuration returns the current configuration
     * @param clock the clock
     * @param ids generates request ids
     * @param claims claims the idempotency keys of non-idempotent requests
     * @param bills records the cost of requests
     * @param rollouts the state of rollouts
     * @param metrics the metrics of this VM
     * @param duties sends messages to the VMs responsible for shared state
     * @param timer schedules periodic load reports
     */
    public record Dependencies(
            Supplier<Configuration> configuration,
            InstantSource clock,
            RequestIds ids,
            Claims claims,
            Bills bills,
            Rollouts rollouts,
            RouterMetrics metrics,
            Duties duties,
            ScheduledExecutorService timer) {}

    /**
     * Creates a router.
     *
     * @param dependencies the components to use
     * @param dataCentre the data centre of this VM
     * @param vmCount returns the number of VMs that share a team's rate limit
     * @param rating the rating service, empty if there is none
     * @param ratedShare the share of answers sent to the rating service, in [0, 1]
     */
    public Router(
            final Dependencies dependencies,
            final DataCentreId dataCentre,
            final IntSupplier vmCount,
            final Optional<InetSocketAddress> rating,
            final double ratedShare) {
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre is null");
        final ServerStateTable serverStates = new ServerStateTable(dependencies.clock());
        this.ledger =
                new LoadLedger(dependencies.duties(), serverStates::loads, dependencies.timer());
        this.components =
                new RouterComponents(
                        dependencies.configuration(),
                        dependencies.clock(),
                        dependencies.ids(),
                        dependencies.claims(),
                        dependencies.bills(),
                        dependencies.rollouts(),
                        new Admission(dependencies.clock(), vmCount),
                        serverStates,
                        ledger,
                        new Cascades(dependencies.rollouts()),
                        new RatingClient(rating, ratedShare),
                        RetryBudget.of(RETRY_SHARE, RETRY_RESERVE),
                        dependencies.metrics());
        this.api = new CallerApi(components, this::loop, () -> draining);
    }

    @Override
    public void handle(final ServerExchange exchange) {
        api.handle(exchange);
    }

    /**
     * Returns the ledger of requests at backend servers, which handles messages of other VMs.
     *
     * @return the ledger
     */
    public LoadLedger ledger() {
        return ledger;
    }

    /** Rejects new requests from now on; requests in flight continue. */
    public void drain() {
        draining = true;
    }

    /** Ends all open requests, whose callers learn what is known of them. */
    public void endOpenRequests() {
        loopContexts.forEach((eventLoop, open) -> eventLoop.execute(open::endOpenRequests));
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the count
     */
    public int inFlight() {
        return components.admission().inFlight();
    }

    private EventLoopContext loop(final EventLoop eventLoop) {
        return loopContexts.computeIfAbsent(
                eventLoop,
                e ->
                        new EventLoopContext(
                                new HttpClient(e),
                                dataCentre,
                                components.serverStates(),
                                System.identityHashCode(e)));
    }
}
