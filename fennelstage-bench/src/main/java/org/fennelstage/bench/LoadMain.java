package org.fennelstage.bench;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.HttpClient;
import org.fennelstage.ini.IniFile;
import org.fennelstage.log.LogSetup;
import org.fennelstage.objects.Json;

/**
 * An open-loop load generator: requests are due at the times of a seeded Poisson process, whether
 * or not earlier ones have ended. Meanwhile polls the configuration revision of each VM. Prints a
 * summary at the end.
 */
public final class LoadMain {

    private static final int EVENT_LOOPS = 4;
    private static final long MAX_DRAIN_SECONDS = 60;
    private static final long STATUS_POLL_MILLIS = 200;

    private final LoadStatistics statistics = new LoadStatistics();
    private final EventLoopGroup group = new NioEventLoopGroup(EVENT_LOOPS);
    private final List<HttpClient> clients = new ArrayList<>();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final Map<String, Long> revisionByVm = new HashMap<>();

    private LoadMain() {
        for (int i = 0; i < EVENT_LOOPS; i++) {
            clients.add(new HttpClient(group.next()));
        }
    }

    /**
     * Generates load.
     *
     * @param args {@code --targets HOST:PORT,… --team TEAM [--rate PER_SECOND] [--seconds S] [--mix
     *     zvezdna|compensa] [--kind PROFILE] [--direct MODEL@VERSION] [--admin HOST:PORT,…] [--out
     *     DIR] [--seed N]}
     * @throws ParseException if an option is wrong
     * @throws IOException if the results cannot be written
     */
    public static void main(final String[] args) throws ParseException, IOException {
        LogSetup.apply(false, "warn");
        final Options options = new Options();
        for (final String name :
                List.of(
                        "targets", "rate", "seconds", "mix", "team", "direct", "admin", "out",
                        "seed", "kind")) {
            options.addOption(Option.builder().longOpt(name).hasArg().build());
        }
        final CommandLine line = new DefaultParser().parse(options, args);
        new LoadMain().run(line);
    }

    private void run(final CommandLine line) throws IOException {
        final List<InetSocketAddress> targets = addresses(line.getOptionValue("targets"));
        final double rate = Double.parseDouble(line.getOptionValue("rate", "50"));
        final double seconds = Double.parseDouble(line.getOptionValue("seconds", "10"));
        final RequestKind[] mix = mix(line);
        final long seed = Long.parseLong(line.getOptionValue("seed", "1"));
        pollStatus(addresses(line.getOptionValue("admin", "")));
        generate(
                targets,
                rate,
                seconds,
                mix,
                line.getOptionValue("team"),
                line.getOptionValue("direct", ""),
                seed);
        drain();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        if (line.hasOption("out")) {
            statistics.write(Path.of(line.getOptionValue("out")));
        }
        System.out.print(statistics.summary(seconds));
    }

    private static RequestKind[] mix(final CommandLine line) {
        final RequestKind[] mix =
                line.getOptionValue("mix", "zvezdna").equals("zvezdna")
                        ? RequestKind.ZVEZDNA
                        : RequestKind.COMPENSA;
        if (!line.hasOption("kind")) {
            return mix;
        }
        return Arrays.stream(mix)
                .filter(k -> k.profile().equals(line.getOptionValue("kind")))
                .toArray(RequestKind[]::new);
    }

    private void generate(
            final List<InetSocketAddress> targets,
            final double rate,
            final double seconds,
            final RequestKind[] mix,
            final String team,
            final String direct,
            final long seed) {
        final SplittableRandom random = new SplittableRandom(seed);
        final long start = System.nanoTime();
        final long end = start + (long) (seconds * 1e9);
        long due = start;
        long number = seed * 1_000_000;
        while (due < end) {
            due += (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
            final RequestKind kind = RequestKind.pick(mix, random.nextDouble());
            waitUntil(due);
            final HttpClient client = clients.get((int) (number % EVENT_LOOPS));
            inFlight.incrementAndGet();
            final LoadRequest request =
                    new LoadRequest(
                            client,
                            statistics,
                            kind,
                            targets,
                            team,
                            direct,
                            number,
                            due,
                            inFlight::decrementAndGet);
            client.eventLoop().execute(request::send);
            number++;
        }
    }

    private void drain() {
        final long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_DRAIN_SECONDS);
        while (inFlight.get() > 0 && System.nanoTime() < deadline) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
        for (int i = 0; i < inFlight.get(); i++) {
            statistics.recordOutcome("open-at-the-end");
        }
    }

    private void pollStatus(final List<InetSocketAddress> admins) {
        final HttpClient client = clients.get(0);
        client.eventLoop()
                .scheduleWithFixedDelay(
                        () -> admins.forEach(a -> requestStatus(client, a)),
                        0,
                        STATUS_POLL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void requestStatus(final HttpClient client, final InetSocketAddress admin) {
        client.collect(
                admin,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/status"),
                CallOptions.DEFAULT,
                response -> onStatus(admin, response.body()),
                failure -> {});
    }

    private void onStatus(final InetSocketAddress admin, final byte[] body) {
        try {
            final JsonNode status = Json.mapper().readTree(body);
            final long revision = status.path("revision").asLong();
            if (!status.path("ready").asBoolean()) {
                revisionByVm.remove(admin.toString());
                return;
            }
            final Long previous = revisionByVm.put(admin.toString(), revision);
            if (previous != null && revision < previous) {
                statistics.recordRevisionDecrease();
            }
        } catch (final IOException e) {
            // A VM that is killed may leave a truncated response.
            return;
        }
    }

    private static void waitUntil(final long nanos) {
        long remaining = nanos - System.nanoTime();
        while (remaining > 0) {
            if (remaining > 100_000) {
                LockSupport.parkNanos(remaining - 60_000);
            } else {
                Thread.onSpinWait();
            }
            remaining = nanos - System.nanoTime();
        }
    }

    private static List<InetSocketAddress> addresses(final String text) {
        return Arrays.stream(text.split(","))
                .filter(a -> !a.isEmpty())
                .map(IniFile::address)
                .toList();
    }
}
