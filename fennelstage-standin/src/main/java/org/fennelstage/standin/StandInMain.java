package org.fennelstage.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.fennelstage.objects.MemoryObjectStore;

/**
 * Starts stand-ins in one process: {@code --objects PORT}, {@code --rating PORT} with {@code
 * --rating-delay MILLIS}, {@code --engine PORT[,PORT…]} with {@code --version BEHAVIOUR} (see
 * {@link VersionBehaviour#parse}) and {@code --slots N}, {@code --service PORT[,PORT…]}. All listen
 * on loopback only.
 */
public final class StandInMain {

    private static final String HOST = "127.0.0.1";
    private static final long SEED = 42;
    private static final int EXIT_USAGE = 2;

    private StandInMain() {}

    /**
     * Starts the stand-ins, which run until the process ends.
     *
     * @param args the command-line options
     * @throws IOException if an address cannot be bound
     */
    public static void main(final String[] args) throws IOException {
        final CommandLine line;
        try {
            line = new DefaultParser().parse(options(), args);
        } catch (final ParseException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
            return;
        }
        final EventLoopGroup group = new NioEventLoopGroup(4);
        final int slots = Integer.parseInt(line.getOptionValue("slots", "8"));
        final long ratingDelay = Long.parseLong(line.getOptionValue("rating-delay", "200"));
        final List<VersionBehaviour> behaviours =
                values(line, "version").stream().map(VersionBehaviour::parse).toList();
        for (final String port : values(line, "objects")) {
            ObjectApiStandIn.start(group, loopback(port), MemoryObjectStore.empty(), SEED);
        }
        for (final String port : values(line, "rating")) {
            RatingService.start(group, loopback(port), ratingDelay);
        }
        for (final String port : values(line, "engine")) {
            ModelEngine.start(group, loopback(port), behaviours, slots, Long.parseLong(port));
        }
        for (final String port : values(line, "service")) {
            PlainService.start(group, loopback(port));
        }
        System.out.println("stand-ins ready");
    }

    private static InetSocketAddress loopback(final String port) {
        return new InetSocketAddress(HOST, Integer.parseInt(port));
    }

    private static List<String> values(final CommandLine line, final String option) {
        final String[] values = line.getOptionValues(option);
        if (values == null) {
            return List.of();
        }
        if (option.equals("version")) {
            return List.of(values);
        }
        return Arrays.stream(values).flatMap(v -> Arrays.stream(v.split(","))).toList();
    }

    private static Options options() {
        final Options options = new Options();
        for (final String name :
                List.of("objects", "rating", "engine", "service", "version", "slots")) {
            options.addOption(Option.builder().longOpt(name).hasArg().build());
        }
        options.addOption(Option.builder().longOpt("rating-delay").hasArg().build());
        return options;
    }
}
