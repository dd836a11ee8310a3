package org.fennelstage.bench;

import com.fasterxml.jackson.core.type.TypeReference;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.fennelstage.bill.Bill;
import org.fennelstage.bill.BillSegment;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.ini.IniFile;
import org.fennelstage.log.LogSetup;
import org.fennelstage.objects.CallBudget;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.ChangesResult;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.MalformedValueException;
import org.fennelstage.objects.ObjectApiClient;
import org.fennelstage.standin.ModelEngine;

/**
 * Checks the guarantees to callers after a load test. Compares what callers observed (the files of
 * {@link LoadMain}) with the requests that model engines ran and the bills in the store; does not
 * use logs or metrics of VMs. Prints one line per guarantee; the exit code is the number of broken
 * guarantees.
 */
public final class CheckMain {

    private static final Duration BILL_TIMEOUT = Duration.ofSeconds(20);

    private final List<String> brokenGuarantees = new ArrayList<>();

    private CheckMain() {}

    /**
     * Checks all guarantees and exits.
     *
     * @param args {@code OUT_DIR STORE ENGINE,…}: the output directory of the load generator, the
     *     address of the object API and the addresses of the model engines
     * @throws IOException if a file or an engine cannot be read
     * @throws InterruptedException if interrupted
     */
    public static void main(final String[] args) throws IOException, InterruptedException {
        LogSetup.apply(false, "warn");
        final Path out = Path.of(args[0]);
        final CheckMain check = new CheckMain();
        final Set<String> complete = readLines(out, "complete.txt");
        final Set<String> notRun = readLines(out, "not-run.txt");
        check.checkExecutions(
                fetchExecutions(args[2]), notRun, readLines(out, "keys-complete.txt"));
        check.checkBills(args[1], complete);
        check.report(
                "responses are complete and belong to their requests",
                readLines(out, "foreign.txt").size());
        check.report(
                "configuration revisions never decrease",
                Integer.parseInt(Files.readString(out.resolve("reverts.txt")).trim()));
        System.exit(check.brokenGuarantees.size());
    }

    private void checkExecutions(
            final List<ModelEngine.Execution> executions,
            final Set<String> notRun,
            final Set<String> completeKeys) {
        final Map<String, Set<String>> executionsByKey = new HashMap<>();
        final Set<String> ran = new HashSet<>();
        int wronglyNotRun = 0;
        int repeated = 0;
        for (final ModelEngine.Execution execution : executions) {
            if (!execution.key().isEmpty()) {
                final boolean isNew =
                        executionsByKey
                                .computeIfAbsent(execution.key(), k -> new HashSet<>())
                                .add(execution.request() + execution.atMillis());
                repeated += isNew && executionsByKey.get(execution.key()).size() > 1 ? 1 : 0;
            }
            ran.add(execution.request());
        }
        for (final String request : notRun) {
            wronglyNotRun += ran.contains(request) ? 1 : 0;
        }
        final long neverRun =
                completeKeys.stream().filter(k -> !executionsByKey.containsKey(k)).count();
        System.out.println(
                "  "
                        + executions.size()
                        + " executions, "
                        + executionsByKey.size()
                        + " idempotency keys, "
                        + notRun.size()
                        + " requests rejected as not run");
        report("non-idempotent requests run at most once", repeated);
        report("requests rejected as not run did not run", wronglyNotRun);
        report("complete requests with an idempotency key ran", (int) neverRun);
    }

    private void checkBills(final String store, final Set<String> complete)
            throws InterruptedException {
        final EventLoopGroup group = new NioEventLoopGroup(1);
        final ObjectApiClient client =
                new ObjectApiClient(
                        new org.fennelstage.http.HttpClient(group.next()),
                        IniFile.address(store),
                        CallBudget.of(InstantSource.system(), 100, 100),
                        Duration.ofSeconds(5));
        final long deadline = System.nanoTime() + BILL_TIMEOUT.toNanos();
        Map<String, Bill> bills = new HashMap<>();
        int conflicting = 0;
        int duplicates = 0;
        while (System.nanoTime() < deadline && !bills.keySet().containsAll(complete)) {
            bills = new HashMap<>();
            conflicting = 0;
            duplicates = 0;
            for (final Bill bill : readBills(client)) {
                final Bill previous = bills.putIfAbsent(bill.request().value(), bill);
                duplicates += previous == null ? 0 : 1;
                conflicting += previous == null || previous.equals(bill) ? 0 : 1;
            }
            TimeUnit.MILLISECONDS.sleep(300);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        final Set<String> unbilled = new HashSet<>(complete);
        unbilled.removeAll(bills.keySet());
        final Set<String> notReceived = new HashSet<>(bills.keySet());
        notReceived.removeAll(complete);
        System.out.println(
                "  "
                        + complete.size()
                        + " complete answers, "
                        + bills.size()
                        + " bills, "
                        + duplicates
                        + " duplicate bills, "
                        + notReceived.size()
                        + " bills of answers that no caller received completely");
        report("every complete answer is billed", unbilled.size());
        report("no request has two different bills", conflicting);
    }

    private static List<Bill> readBills(final ObjectApiClient client) {
        final ChangesResult result =
                client.changes(Keys.BILLS, Revision.NONE, Duration.ZERO, CallPriority.NORMAL)
                        .join();
        final List<Bill> bills = new ArrayList<>();
        if (result instanceof ChangesResult.Changed changed) {
            for (final StoredObject object : changed.objects()) {
                try {
                    bills.addAll(Json.read(object.value().get(), BillSegment.class).bills());
                } catch (final MalformedValueException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
        return bills;
    }

    private void report(final String guarantee, final int violations) {
        if (violations > 0) {
            brokenGuarantees.add(guarantee);
        }
        System.out.println(
                (violations == 0 ? "kept    " : "BROKEN  ")
                        + guarantee
                        + (violations == 0 ? "" : ": " + violations));
    }

    private static List<ModelEngine.Execution> fetchExecutions(final String engines)
            throws IOException, InterruptedException {
        final HttpClient http = HttpClient.newHttpClient();
        final List<ModelEngine.Execution> all = new ArrayList<>();
        for (final String engine : engines.split(",")) {
            final InetSocketAddress address = IniFile.address(engine);
            final HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://"
                                                    + address.getHostString()
                                                    + ":"
                                                    + address.getPort()
                                                    + "/admin/executions"))
                            .build();
            final String body = http.send(request, HttpResponse.BodyHandlers.ofString()).body();
            all.addAll(Json.mapper().readValue(body, new TypeReference<>() {}));
        }
        return all;
    }

    private static Set<String> readLines(final Path out, final String file) throws IOException {
        return Arrays.stream(Files.readString(out.resolve(file)).split("\n"))
                .filter(l -> !l.isBlank())
                .collect(Collectors.toSet());
    }
}
