package org.fennelstage.main;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.fennelstage.ini.IniException;
import org.fennelstage.log.LogSetup;
import org.fennelstage.platform.PlatformSettings;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.policy.Policy;
import org.fennelstage.settings.Settings;
import org.fennelstage.settings.SettingsFile;
import org.fennelstage.vm.SettingsException;

/**
 * Runs the {@code fennelstage} program with the commands {@code trial}, {@code run}, {@code check}
 * and {@code serve}. Exit codes: 0 success, 1 invalid settings or failed start, 2 wrong usage.
 * Stateless and thread-safe.
 */
public final class Main {

    private static final int SUCCESS = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;
    private static final String HELP =
            String.join(
                    System.lineSeparator(),
                    "usage: fennelstage trial [--port PORT]        a VM and stand-ins in one process",
                    "       fennelstage run --settings FILE.ini    one VM",
                    "       fennelstage check --settings FILE.ini  list all mistakes in the settings",
                    "       fennelstage serve [--settings FILE.json] [--metrics-port PORT]",
                    "             [--without NAME,...]             one VM on the platform;",
                    "                                              NAME: a mechanism to disable, of",
                    "       " + Mechanism.options());

    private Main() {}

    /**
     * Runs a command.
     *
     * @param args the command and its options
     */
    public static void main(final String[] args) {
        final int code = run(args);
        if (code != SUCCESS) {
            System.exit(code);
        }
    }

    private static int run(final String[] args) {
        final Options options =
                new Options()
                        .addOption(Option.builder().longOpt("settings").hasArg().build())
                        .addOption(Option.builder().longOpt("port").hasArg().build())
                        .addOption(Option.builder().longOpt("metrics-port").hasArg().build())
                        .addOption(Option.builder().longOpt("without").hasArg().build());
        try {
            final CommandLine line = new DefaultParser().parse(options, args);
            final String command = line.getArgs().length == 1 ? line.getArgs()[0] : "";
            if (!command.equals("serve")) {
                LogSetup.apply(false, "warn");
            }
            return switch (command) {
                case "trial" -> trial(Integer.parseInt(line.getOptionValue("port", "8080")));
                case "run" -> runVm(settings(line));
                case "check" -> check(settings(line));
                case "serve" -> serveOnPlatform(line);
                default -> usage("unknown command");
            };
        } catch (final ParseException | NumberFormatException e) {
            return usage(e.getMessage());
        } catch (final IniException e) {
            e.mistakes().forEach(System.err::println);
            return FAILED;
        } catch (final SettingsException e) {
            e.mistakes().forEach(System.err::println);
            return FAILED;
        } catch (final IOException e) {
            System.err.println(e.getMessage() + cause(e));
            return FAILED;
        }
    }

    private static Settings settings(final CommandLine line) throws ParseException, IniException {
        final String file = line.getOptionValue("settings");
        if (file == null) {
            throw new ParseException("--settings FILE.ini is missing");
        }
        return SettingsFile.read(Path.of(file));
    }

    private static int check(final Settings settings) {
        System.out.println("settings of " + settings.vm().id() + " are valid");
        return SUCCESS;
    }

    private static int runVm(final Settings settings) throws IOException {
        LogSetup.apply(settings.log().json(), settings.log().level());
        GracefulStop.start(
                () -> RouterVm.start(settings, RouterVm.Environment.standard()),
                RouterVm::stop,
                Runtime.getRuntime()::addShutdownHook);
        return SUCCESS;
    }

    private static int serveOnPlatform(final CommandLine line)
            throws IOException, ParseException, SettingsException {
        final String file =
                line.getOptionValue("settings", System.getenv(PlatformSettings.FILE_VARIABLE));
        if (file == null) {
            throw new ParseException(
                    "--settings FILE.json is missing and "
                            + PlatformSettings.FILE_VARIABLE
                            + " is not set");
        }
        final String port = line.getOptionValue("metrics-port");
        ServeCommand.run(
                Path.of(file),
                port == null ? OptionalInt.empty() : OptionalInt.of(Integer.parseInt(port)),
                policy(line.getOptionValue("without", "")));
        return SUCCESS;
    }

    private static Policy policy(final String without) throws ParseException {
        final List<Mechanism> disabled = new ArrayList<>();
        for (final String name : without.isEmpty() ? new String[0] : without.split(",")) {
            disabled.add(
                    Mechanism.find(name)
                            .orElseThrow(
                                    () -> new ParseException("unknown mechanism '" + name + "'")));
        }
        return Policy.all().without(disabled);
    }

    private static int trial(final int port) throws IOException {
        LogSetup.apply(false, "warn");
        final Trial trial = Trial.start(port);
        System.out.print(trial.instructions());
        System.out.flush();
        Runtime.getRuntime().addShutdownHook(new Thread(trial::close, "graceful-stop"));
        return SUCCESS;
    }

    private static int usage(final String problem) {
        System.err.println(problem);
        System.err.println(HELP);
        return USAGE;
    }

    private static String cause(final Throwable e) {
        return e.getCause() == null ? "" : ": " + e.getCause().getMessage();
    }
}
