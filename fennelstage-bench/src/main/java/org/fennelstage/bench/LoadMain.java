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
import org.fennelstage.http.Responses;
import org.fennelstage.ini.IniFile;
import org.fennelstage.log.LogSetup;
import org.fennelstage.objects.Json;

/**
 * An open-loop load generator: requests are due at the times of a seeded Poisson process, whether
 * or not earlier ones have ended. Watches the configuration revision of each VM meanwhile.
 */
public final class LoadMain {

    private static final int LOOPS = 4;
    private static final long DRAIN_SECONDS = 60;
    private static final long WATCH_MILLIS = 200;

    private final LoadTally tally = new LoadTally();
    private final EventLoopGroup group = new NioEventLoopGroup(LOOPS);
    private final List<HttpClient> clients = new ArrayList<>();
    private final AtomicInteger open = new AtomicInteger();
    private final Map<String, Long> revisions = new HashMap<>();

    private LoadMain() {
        for (int i = 0; i < LOOPS; i++) {
            clients.add(new HttpClient(group.next()));
        }
    }

    /**
     * Generates load.
     *
     * @param args {@code --targets A,B --rate R --seconds S --mix zvezdna|compensa --team T
     *     [--direct MODEL@VERSION] [--admin A,B] [--out DIR] [--seed N]}
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
        final LoadKind[] mix = mix(line);
        final long seed = Long.parseLong(line.getOptionValue("seed", "1"));
        watch(addresses(line.getOptionValue("admin", "")));
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
            tally.write(Path.of(line.getOptionValue("out")));
        }
        System.out.print(tally.summary(seconds));
    }

    private static LoadKind[] mix(final CommandLine line) {
        final LoadKind[] mix =
                line.getOptionValue("mix", "zvezdna").equals("zvezdna")
                        ? LoadKind.ZVEZDNA
                        : LoadKind.COMPENSA;
        if (!line.hasOption("kind")) {
            return mix;
        }
        return Arrays.stream(mix)
                .filter(k -> k.profile().equals(line.getOptionValue("kind")))
                .toArray(LoadKind[]::new);
    }

    private void generate(
            final List<InetSocketAddress> targets,
            final double rate,
            final double seconds,
            final LoadKind[] mix,
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
            final LoadKind kind = LoadKind.pick(mix, random.nextDouble());
            waitUntil(due);
            final HttpClient client = clients.get((int) (number % LOOPS));
            open.incrementAndGet();
            final LoadRequest request =
                    new LoadRequest(
                            client,
                            tally,
                            kind,
                            targets,
                            team,
                            direct,
                            number,
                            due,
                            open::decrementAndGet);
            client.eventLoop().execute(request::send);
            number++;
        }
    }

    private void drain() {
        final long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(DRAIN_SECONDS);
        while (open.get() > 0 && System.nanoTime() < deadline) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
        for (int i = 0; i < open.get(); i++) {
            tally.outcome("open-at-the-end");
        }
    }

    private void watch(final List<InetSocketAddress> admins) {
        final HttpClient client = clients.get(0);
        client.eventLoop()
                .scheduleWithFixedDelay(
                        () -> admins.forEach(a -> look(client, a)),
                        0,
                        WATCH_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void look(final HttpClient client, final InetSocketAddress admin) {
        client.send(
                admin,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/status"),
                CallOptions.DEFAULT,
                Responses.collecting(whole -> onStatus(admin, whole.body()), failure -> {}));
    }

    private void onStatus(final InetSocketAddress admin, final byte[] body) {
        try {
            final JsonNode status = Json.mapper().readTree(body);
            final long revision = status.path("revision").asLong();
            if (!status.path("ready").asBoolean()) {
                revisions.remove(admin.toString());
                return;
            }
            final Long before = revisions.put(admin.toString(), revision);
            if (before != null && revision < before) {
                tally.revert();
            }
        } catch (final IOException e) {
            // A half-written answer of a VM that was just killed says nothing.
            return;
        }
    }

    private static void waitUntil(final long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            if (left > 100_000) {
                LockSupport.parkNanos(left - 60_000);
            } else {
                Thread.onSpinWait();
            }
            left = nanos - System.nanoTime();
        }
    }

    private static List<InetSocketAddress> addresses(final String text) {
        return Arrays.stream(text.split(","))
                .filter(t -> !t.isEmpty())
                .map(IniFile::address)
                .toList();
    }
}
