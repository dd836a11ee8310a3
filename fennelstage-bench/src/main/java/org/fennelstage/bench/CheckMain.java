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
 * Checks the promises after a run, from what callers saw (files of the load generator), what
 * engines ran and what the object API holds; never from what routers say. Prints one line a
 * promise; the exit code is the number of promises broken.
 */
public final class CheckMain {

    private static final Duration BILLS_WAIT = Duration.ofSeconds(20);

    private final List<String> broken = new ArrayList<>();

    private CheckMain() {}

    /**
     * Checks a run.
     *
     * @param args {@code OUT_DIR STORE ENGINE,ENGINE…}
     * @throws IOException if a file or engine cannot be read
     * @throws InterruptedException if interrupted
     */
    public static void main(final String[] args) throws IOException, InterruptedException {
        LogSetup.apply(false, "warn");
        final Path out = Path.of(args[0]);
        final CheckMain check = new CheckMain();
        final Set<String> complete = lines(out, "complete.txt");
        final Set<String> notRun = lines(out, "not-run.txt");
        check.executions(executions(args[2]), notRun, lines(out, "keys-complete.txt"));
        check.bills(args[1], complete);
        check.report("whole answers to their own requests", lines(out, "foreign.txt").size());
        check.report(
                "configuration never reverts",
                Integer.parseInt(Files.readString(out.resolve("reverts.txt")).trim()));
        System.exit(check.broken.size());
    }

    private void executions(
            final List<ModelEngine.Execution> executions,
            final Set<String> notRun,
            final Set<String> keysComplete) {
        final Map<String, Set<String>> byKey = new HashMap<>();
        final Set<String> ran = new HashSet<>();
        int untrue = 0;
        int twice = 0;
        for (final ModelEngine.Execution execution : executions) {
            if (!execution.key().isEmpty()) {
                final boolean isNew =
                        byKey.computeIfAbsent(execution.key(), k -> new HashSet<>())
                                .add(execution.request() + execution.atMillis());
                twice += isNew && byKey.get(execution.key()).size() > 1 ? 1 : 0;
            }
            ran.add(execution.request());
        }
        for (final String request : notRun) {
            untrue += ran.contains(request) ? 1 : 0;
        }
        final long invented = keysComplete.stream().filter(k -> !byKey.containsKey(k)).count();
        System.out.println(
                "  "
                        + executions.size()
                        + " runs, "
                        + byKey.size()
                        + " keys, "
                        + notRun.size()
                        + " refusals");
        report("non-idempotent requests run at most once", twice);
        report("a refusal that says not run is true", untrue);
        report("a complete keyed request ran", (int) invented);
    }

    private void bills(final String store, final Set<String> complete) throws InterruptedException {
        final EventLoopGroup group = new NioEventLoopGroup(1);
        final ObjectApiClient client =
                new ObjectApiClient(
                        new org.fennelstage.http.HttpClient(group.next()),
                        IniFile.address(store),
                        CallBudget.of(InstantSource.system(), 100, 100),
                        Duration.ofSeconds(5));
        final long deadline = System.nanoTime() + BILLS_WAIT.toNanos();
        Map<String, Bill> bills = new HashMap<>();
        int differing = 0;
        int copies = 0;
        while (System.nanoTime() < deadline && !bills.keySet().containsAll(complete)) {
            bills = new HashMap<>();
            differing = 0;
            copies = 0;
            for (final Bill bill : stored(client)) {
                final Bill other = bills.putIfAbsent(bill.request().value(), bill);
                copies += other == null ? 0 : 1;
                differing += other == null || other.equals(bill) ? 0 : 1;
            }
            TimeUnit.MILLISECONDS.sleep(300);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        final Set<String> unbilled = new HashSet<>(complete);
        unbilled.removeAll(bills.keySet());
        final Set<String> unseen = new HashSet<>(bills.keySet());
        unseen.removeAll(complete);
        System.out.println(
                "  "
                        + complete.size()
                        + " complete answers, "
                        + bills.size()
                        + " bills, "
                        + copies
                        + " copies, "
                        + unseen.size()
                        + " billed answers whose end the caller did not see");
        report("every complete answer is billed", unbilled.size());
        report("no request has two different bills", differing);
    }

    private static List<Bill> stored(final ObjectApiClient client) {
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

    private void report(final String promise, final int violations) {
        if (violations > 0) {
            broken.add(promise);
        }
        System.out.println(
                (violations == 0 ? "kept    " : "BROKEN  ")
                        + promise
                        + (violations == 0 ? "" : ": " + violations));
    }

    private static List<ModelEngine.Execution> executions(final String engines)
            throws IOException, InterruptedException {
        final HttpClient http = HttpClient.newHttpClient();
        final List<ModelEngine.Execution> all = new ArrayList<>();
        for (final String text : engines.split(",")) {
            final InetSocketAddress address = IniFile.address(text);
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

    private static Set<String> lines(final Path out, final String file) throws IOException {
        return Arrays.stream(Files.readString(out.resolve(file)).split("\n"))
                .filter(l -> !l.isBlank())
                .collect(Collectors.toSet());
    }
}
