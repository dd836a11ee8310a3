package org.fennelstage.route;

import java.time.InstantSource;
import java.util.function.Supplier;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.control.Bills;
import org.fennelstage.control.Claims;
import org.fennelstage.control.LoadLedger;
import org.fennelstage.control.Rollouts;
import org.fennelstage.request.RequestIds;
import org.fennelstage.request.RetryBudget;

/**
 * The components shared by all requests of this VM. Immutable; all components are thread-safe.
 *
 * @param configuration returns the current configuration
 * @param clock the clock
 * @param ids generates request ids
 * @param claims claims the idempotency keys of non-idempotent requests
 * @param bills records the cost of requests
 * @param rollouts the state of rollouts
 * @param admission enforces the teams' limits
 * @param serverStates the states of the backend servers
 * @param ledger reserves slots of backend servers across VMs
 * @param cascades selects models
 * @param ratings requests ratings of answers
 * @param retries the retry budget
 * @param metrics the metrics of this VM
 */
record RouterComponents(
        Supplier<Configuration> configuration,
        InstantSource clock,
        RequestIds ids,
        Claims claims,
        Bills bills,
        Rollouts rollouts,
        Admission admission,
        ServerStateTable serverStates,
        LoadLedger ledger,
        Cascades cascades,
        RatingClient ratings,
        RetryBudget retries,
        RouterMetrics metrics) {}
