package org.fennelstage.ctl;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What a command of {@code fennelctl} is for, and how to call it. Immutable and thread-safe.
 *
 * <pre>{@code
 * SubCommand.find("apply").map(SubCommand::help)
 * }</pre>
 *
 * @param name its first word
 * @param usage the line that calls it, without the program's name
 * @param purpose what it does, in one line
 * @param options its options, a line each; empty if it has none
 */
record SubCommand(String name, String usage, String purpose, List<String> options) {

    private static final String STORE = "--store IP:PORT   where the object API listens";

    /** All commands, in the order in which help lists them. */
    static final List<SubCommand> ALL =
            List.of(
                    new SubCommand(
                            "check",
                            "check DIR",
                            "names every mistake in the declarations of a folder",
                            List.of()),
                    new SubCommand(
                            "team-key",
                            "team-key",
                            "draws a key for a team and prints it with the lines that declare it",
                            List.of()),
                    new SubCommand(
                            "report",
                            "report [--format text|json|html] [LOG ...]",
                            "shows where and why requests were late or lost; reads standard input"
                                    + " without LOG",
                            List.of("--format NAME     text (as if left out), json or html")),
                    new SubCommand(
                            "explain",
                            "explain REQUEST [LOG ...]",
                            "tells the story of one request; reads standard input without LOG",
                            List.of()),
                    new SubCommand(
                            "plan",
                            "--store IP:PORT plan DIR",
                            "shows what apply would change",
                            List.of(STORE)),
                    new SubCommand(
                            "apply",
                            "--store IP:PORT apply DIR [--wait-ms 10000]",
                            "changes what differs from the declarations of a folder",
                            List.of(
                                    STORE,
                                    "--wait-ms MS      how long to wait until all VMs have it;"
                                            + " milliseconds")),
                    new SubCommand(
                            "status",
                            "--store IP:PORT status [--json]",
                            "shows which VM has which configuration, and the roll-outs",
                            List.of(STORE, "--json            for other programs")),
                    new SubCommand(
                            "drain",
                            "--store IP:PORT drain MODEL VERSION",
                            "gives a version no new sessions",
                            List.of(STORE)),
                    new SubCommand(
                            "withdraw",
                            "--store IP:PORT withdraw MODEL VERSION",
                            "gives a version nothing any more",
                            List.of(STORE)),
                    new SubCommand(
                            "serve",
                            "--store IP:PORT serve MODEL VERSION",
                            "lets a version serve",
                            List.of(STORE)),
                    new SubCommand(
                            "rollout",
                            "--store IP:PORT rollout start ID PROVEN CANDIDATE | pause|resume|abort"
                                    + " ID",
                            "starts a roll-out, or holds, continues or ends one",
                            List.of(STORE)),
                    new SubCommand(
                            "reconcile",
                            "--store IP:PORT reconcile FILE",
                            "compares bills with the request ids that are known as complete",
                            List.of(STORE)));

    private static final String EXIT_CODES =
            "exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown";

    SubCommand {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(usage, "usage is null");
        Objects.requireNonNull(purpose, "purpose is null");
        options = List.copyOf(options);
    }

    /**
     * Finds a command.
     *
     * @param name its name
     * @return the command, empty if there is none
     */
    static Optional<SubCommand> find(final String name) {
        return ALL.stream().filter(c -> c.name().equals(name)).findFirst();
    }

    /**
     * Returns what to call, for all commands.
     *
     * @return the text
     */
    static String overview() {
        final StringBuilder text = new StringBuilder();
        for (final SubCommand command : ALL) {
            text.append(text.isEmpty() ? "usage: " : "       ")
                    .append("fennelctl ")
                    .append(command.usage())
                    .append(System.lineSeparator());
        }
        return text.append("fennelctl COMMAND --help says more of one command")
                .append(System.lineSeparator())
                .append(EXIT_CODES)
                .toString();
    }

    /**
     * Returns how to call this command and what it does.
     *
     * @return the text
     */
    String help() {
        final StringBuilder text = new StringBuilder("usage: fennelctl ").append(usage);
        text.append(System.lineSeparator()).append(purpose).append(System.lineSeparator());
        options.forEach(o -> text.append("  ").append(o).append(System.lineSeparator()));
        return text.append(EXIT_CODES).toString();
    }
}
