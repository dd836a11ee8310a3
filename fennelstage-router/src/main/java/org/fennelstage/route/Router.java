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

/** Serves callers on one VM. Thread-safe. */
public final class Router implements RequestHandler {

    private static final double RETRY_SHARE = 0.1;
    private static final double RETRY_RESERVE = 10;

    private final Services services;
    private final DataCentreId dataCentre;
    private final CallerApi api;
    private final LoadLedger ledger;
    private final Map<EventLoop, LoopContext> loops = new ConcurrentHashMap<>();
    private volatile boolean draining;

    /**
     * What a router works with.
     *
     * @param configuration what is in force
     * @param clock the clock
     * @param ids makes request ids
     * @param claims for requests that may not run twice
     * @param bills takes what requests cost
     * @param rollouts the roll-outs
     * @param metrics counts
     * @param duties reaches other VMs
     * @param timer runs reports
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
     * @param dependencies what it works with
     * @param dataCentre where it stands
     * @param vms tells how many VMs share a team's rate
     * @param rating the rating service, empty if there is none
     * @param ratedShare the share of answers sent to it
     */
    public Router(
            final Dependencies dependencies,
            final DataCentreId dataCentre,
            final IntSupplier vms,
            final Optional<InetSocketAddress> rating,
            final double ratedShare) {
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre is null");
        final WorkerTable workers = new WorkerTable(dependencies.clock());
        this.ledger = new LoadLedger(dependencies.duties(), workers::loads, dependencies.timer());
        this.services =
                new Services(
                        dependencies.configuration(),
                        dependencies.clock(),
                        dependencies.ids(),
                        dependencies.claims(),
                        dependencies.bills(),
                        dependencies.rollouts(),
                        new Admission(dependencies.clock(), vms),
                        workers,
                        ledger,
                        new Cascades(dependencies.rollouts()),
                        new Ratings(rating, ratedShare),
                        RetryBudget.of(RETRY_SHARE, RETRY_RESERVE),
                        dependencies.metrics());
        this.api = new CallerApi(services, this::loop, () -> draining);
    }

    @Override
    public void handle(final ServerExchange exchange) {
        api.handle(exchange);
    }

    /**
     * Returns the count of requests at backend servers, which other VMs send messages to.
     *
     * @return the ledger
     */
    public LoadLedger ledger() {
        return ledger;
    }

    /** Refuses new requests from now on; those in flight go on. */
    public void drain() {
        draining = true;
    }

    /**
     * Returns how many requests are admitted and not ended.
     *
     * @return the count
     */
    public int inFlight() {
        return services.admission().inFlight();
    }

    private LoopContext loop(final EventLoop eventLoop) {
        return loops.computeIfAbsent(
                eventLoop,
                e ->
                        new LoopContext(
                                new HttpClient(e),
                                dataCentre,
                                services.workers(),
                                System.identityHashCode(e)));
    }
}
