package org.fennelstage.ctl;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.fennelstage.http.HttpClient;
import org.fennelstage.ini.IniFile;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.objects.CallBudget;
import org.fennelstage.objects.ObjectApiClient;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.report.ReportCommand;
import org.fennelstage.rollout.Rollout;

/** The {@code fennelctl} program. Exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown. */
public final class Main {

    private static final double CALLS_PER_SECOND = 200;
    private static final double BURST = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private Main() {}

    /**
     * Runs a command.
     *
     * @param args the command and its options
     */
    public static void main(final String[] args) {
        System.exit(run(args, System.out, System.err).code());
    }

    static Exit run(final String[] args, final PrintStream out, final PrintStream err) {
        try {
            final CommandLine line = new DefaultParser().parse(options(), args);
            if (line.hasOption("help")) {
                out.println(help(line.getArgList()));
            } else {
                execute(line, line.getArgList(), out);
            }
            return Exit.DONE;
        } catch (final ParseException | IllegalArgumentException e) {
            err.println(e.getMessage());
            err.println(SubCommand.overview());
            return Exit.USAGE;
        } catch (final CommandException e) {
            err.println(e.getMessage());
            return e.exit();
        }
    }

    private static String help(final List<String> words) throws ParseException {
        if (words.isEmpty()) {
            return SubCommand.overview();
        }
        return SubCommand.find(words.get(0))
                .orElseThrow(() -> new ParseException("unknown command '" + words.get(0) + "'"))
                .help();
    }

    private static void execute(
            final CommandLine line, final List<String> words, final PrintStream out)
            throws ParseException, CommandException {
        final String command = words.isEmpty() ? "" : words.get(0);
        if (command.equals("check")) {
            Commands.check(Path.of(word(words, 1)), out);
        } else if (command.equals("team-key")) {
            Commands.teamKey(out);
        } else if (command.equals("report") || command.equals("explain")) {
            readLogs(line, command, words, out);
        } else {
            withStore(line, command, words, out);
        }
    }

    private static void readLogs(
            final CommandLine line,
            final String command,
            final List<String> words,
            final PrintStream out)
            throws ParseException, CommandException {
        final boolean explains = command.equals("explain");
        final List<Path> files = words.stream().skip(explains ? 2 : 1).map(Path::of).toList();
        try {
            final ReportCommand logs = ReportCommand.read(files, System.in, out);
            if (!explains) {
                logs.report(format(line.getOptionValue("format", "text")));
            } else if (!logs.explain(word(words, 1))) {
                throw new CommandException(Exit.REFUSED, "no line speaks of " + word(words, 1));
            }
        } catch (final IOException e) {
            throw new CommandException(Exit.REFUSED, "cannot read the logs: " + e.getMessage());
        }
    }

    private static ReportCommand.Format format(final String name) throws ParseException {
        for (final ReportCommand.Format format : ReportCommand.Format.values()) {
            if (format.name().equalsIgnoreCase(name)) {
                return format;
            }
        }
        throw new ParseException("--format text, json or html");
    }

    private static void withStore(
            final CommandLine line,
            final String command,
            final List<String> words,
            final PrintStream out)
            throws ParseException, CommandException {
        if (line.getOptionValue("store") == null) {
            throw new ParseException("--store IP:PORT is missing, or the command is unknown");
        }
        final EventLoopGroup group = new NioEventLoopGroup(1);
        try {
            final ObjectStore objects =
                    new ObjectApiClient(
                            new HttpClient(group.next()),
                            IniFile.address(line.getOptionValue("store")),
                            CallBudget.of(InstantSource.system(), CALLS_PER_SECOND, BURST),
                            TIMEOUT);
            final Duration wait =
                    Duration.ofMillis(Long.parseLong(line.getOptionValue("wait-ms", "10000")));
            final Commands commands = new Commands(objects, InstantSource.system(), wait, out);
            dispatch(commands, command, words, line);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void dispatch(
            final Commands commands,
            final String command,
            final List<String> words,
            final CommandLine line)
            throws ParseException, CommandException {
        switch (command) {
            case "plan" -> commands.plan(Path.of(word(words, 1)));
            case "apply" -> commands.apply(Path.of(word(words, 1)));
            case "status" -> commands.status(line.hasOption("json"));
            case "drain" ->
                    commands.setState(word(words, 1), word(words, 2), ModelVersion.State.DRAINING);
            case "withdraw" ->
                    commands.setState(word(words, 1), word(words, 2), ModelVersion.State.WITHDRAWN);
            case "serve" ->
                    commands.setState(word(words, 1), word(words, 2), ModelVersion.State.SERVING);
            case "rollout" -> rollout(commands, words);
            case "reconcile" -> commands.reconcile(Path.of(word(words, 1)));
            default -> throw new ParseException("unknown command '" + command + "'");
        }
    }

    private static void rollout(final Commands commands, final List<String> words)
            throws ParseException, CommandException {
        final String id = word(words, 2);
        switch (word(words, 1)) {
            case "start" -> commands.startRollout(id, word(words, 3), word(words, 4));
            case "pause" -> commands.setRollout(id, Rollout.State.PAUSED);
            case "resume" -> commands.setRollout(id, Rollout.State.RUNNING);
            case "abort" -> commands.setRollout(id, Rollout.State.ABORTED);
            default -> throw new ParseException("rollout start, pause, resume or abort");
        }
    }

    private static String word(final List<String> words, final int index) throws ParseException {
        if (words.size() <= index) {
            throw new ParseException("an argument is missing");
        }
        return words.get(index);
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder().longOpt("store").hasArg().build())
                .addOption(Option.builder().longOpt("wait-ms").hasArg().build())
                .addOption(Option.builder().longOpt("format").hasArg().build())
                .addOption(Option.builder().longOpt("json").build())
                .addOption(Option.builder().longOpt("help").build());
    }
}
