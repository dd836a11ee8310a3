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
 * What every request works with. All parts are thread-safe.
 *
 * @param configuration what is in force
 * @param clock the clock
 * @param ids makes request ids
 * @param claims for requests that may not run twice
 * @param bills takes what requests cost
 * @param rollouts the roll-outs
 * @param admission the teams' limits
 * @param workers what is known of backend servers
 * @param ledger counts the requests of all VMs at backend servers
 * @param cascades chooses models
 * @param ratings has answers rated
 * @param retries bounds retries
 * @param metrics counts
 */
record Services(
        Supplier<Configuration> configuration,
        InstantSource clock,
        RequestIds ids,
        Claims claims,
        Bills bills,
        Rollouts rollouts,
        Admission admission,
        WorkerTable workers,
        LoadLedger ledger,
        Cascades cascades,
        Ratings ratings,
        RetryBudget retries,
        RouterMetrics metrics) {}
