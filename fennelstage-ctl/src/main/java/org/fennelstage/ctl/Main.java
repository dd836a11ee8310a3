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

/** The {@code fennelctl} program. Its exit codes are those of {@link ExitCode}. */
public final class Main {

    private static final double MAX_CALLS_PER_SECOND = 200;
    private static final double MAX_BURST = 200;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private Main() {}

    /**
     * Runs a command and exits.
     *
     * @param args the command, its arguments and its options
     */
    public static void main(final String[] args) {
        System.exit(run(args, System.out, System.err).code());
    }

    static ExitCode run(final String[] args, final PrintStream out, final PrintStream err) {
        try {
            final CommandLine line = new DefaultParser().parse(options(), args);
            if (line.hasOption("help")) {
                out.println(help(line.getArgList()));
            } else {
                execute(line, line.getArgList(), out);
            }
            return ExitCode.DONE;
        } catch (final ParseException | IllegalArgumentException e) {
            err.println(e.getMessage());
            err.println(SubCommand.overview());
            return ExitCode.USAGE;
        } catch (final CommandException e) {
            err.println(e.getMessage());
            return e.exitCode();
        }
    }

    private static String help(final List<String> arguments) throws ParseException {
        if (arguments.isEmpty()) {
            return SubCommand.overview();
        }
        return SubCommand.find(arguments.get(0))
                .orElseThrow(() -> new ParseException("unknown command '" + arguments.get(0) + "'"))
                .help();
    }

    private static void execute(
            final CommandLine line, final List<String> arguments, final PrintStream out)
            throws ParseException, CommandException {
        final String command = arguments.isEmpty() ? "" : arguments.get(0);
        if (command.equals("check")) {
            Commands.check(Path.of(argument(arguments, 1)), out);
        } else if (command.equals("team-key")) {
            Commands.teamKey(out);
        } else if (command.equals("report") || command.equals("explain")) {
            readLogs(line, command, arguments, out);
        } else {
            withStore(line, command, arguments, out);
        }
    }

    private static void readLogs(
            final CommandLine line,
            final String command,
            final List<String> arguments,
            final PrintStream out)
            throws ParseException, CommandException {
        final boolean isExplain = command.equals("explain");
        final List<Path> files = arguments.stream().skip(isExplain ? 2 : 1).map(Path::of).toList();
        try {
            final ReportCommand report = ReportCommand.read(files, System.in, out);
            if (!isExplain) {
                report.report(format(line.getOptionValue("format", "text")));
            } else if (!report.explain(argument(arguments, 1))) {
                throw new CommandException(
                        ExitCode.REFUSED, "no log line mentions request " + argument(arguments, 1));
            }
        } catch (final IOException e) {
            throw new CommandException(
                    ExitCode.REFUSED, "cannot read the log files: " + e.getMessage());
        }
    }

    private static ReportCommand.Format format(final String name) throws ParseException {
        for (final ReportCommand.Format format : ReportCommand.Format.values()) {
            if (format.name().equalsIgnoreCase(name)) {
                return format;
            }
        }
        throw new ParseException("--format must be text, json or html");
    }

    private static void withStore(
            final CommandLine line,
            final String command,
            final List<String> arguments,
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
                            CallBudget.of(InstantSource.system(), MAX_CALLS_PER_SECOND, MAX_BURST),
                            CALL_TIMEOUT);
            final Duration maxWait =
                    Duration.ofMillis(Long.parseLong(line.getOptionValue("wait-ms", "10000")));
            final Commands commands = new Commands(objects, InstantSource.system(), maxWait, out);
            dispatch(commands, command, arguments, line);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void dispatch(
            final Commands commands,
            final String command,
            final List<String> arguments,
            final CommandLine line)
            throws ParseException, CommandException {
        switch (command) {
            case "plan" -> commands.plan(Path.of(argument(arguments, 1)));
            case "apply" -> commands.apply(Path.of(argument(arguments, 1)));
            case "status" -> commands.status(line.hasOption("json"));
            case "drain" ->
                    commands.setVersionState(
                            argument(arguments, 1),
                            argument(arguments, 2),
                            ModelVersion.State.DRAINING);
            case "withdraw" ->
                    commands.setVersionState(
                            argument(arguments, 1),
                            argument(arguments, 2),
                            ModelVersion.State.WITHDRAWN);
            case "serve" ->
                    commands.setVersionState(
                            argument(arguments, 1),
                            argument(arguments, 2),
                            ModelVersion.State.SERVING);
            case "rollout" -> rollout(commands, arguments);
            case "reconcile" -> commands.reconcile(Path.of(argument(arguments, 1)));
            default -> throw new ParseException("unknown command '" + command + "'");
        }
    }

    private static void rollout(final Commands commands, final List<String> arguments)
            throws ParseException, CommandException {
        final String id = argument(arguments, 2);
        switch (argument(arguments, 1)) {
            case "start" ->
                    commands.startRollout(id, argument(arguments, 3), argument(arguments, 4));
            case "pause" -> commands.setRolloutState(id, Rollout.State.PAUSED);
            case "resume" -> commands.setRolloutState(id, Rollout.State.RUNNING);
            case "abort" -> commands.setRolloutState(id, Rollout.State.ABORTED);
            default ->
                    throw new ParseException(
                            "rollout has no action '"
                                    + arguments.get(1)
                                    + "'; use start, pause, resume or abort");
        }
    }

    private static String argument(final List<String> arguments, final int index)
            throws ParseException {
        if (arguments.size() <= index) {
            throw new ParseException("argument " + index + " is missing");
        }
        return arguments.get(index);
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
