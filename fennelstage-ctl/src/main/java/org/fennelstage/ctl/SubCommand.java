package org.fennelstage.ctl;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The help text of a command of {@code fennelctl}. Immutable and thread-safe.
 *
 * <pre>{@code
 * SubCommand.find("apply").map(SubCommand::help)
 * }</pre>
 *
 * @param name the name of the command
 * @param usage the arguments and options, without the program's name
 * @param purpose a description in one line
 * @param options a line for each option; may be empty
 */
record SubCommand(String name, String usage, String purpose, List<String> options) {

    private static final String STORE_OPTION = "--store IP:PORT   address of the object API";

    /** All commands, in the order in which help lists them. */
    static final List<SubCommand> ALL =
            List.of(
                    new SubCommand(
                            "check",
                            "check DIR",
                            "checks the declarations in a directory and prints every mistake",
                            List.of()),
                    new SubCommand(
                            "team-key",
                            "team-key",
                            "generates a team key and prints it with the lines that declare it",
                            List.of()),
                    new SubCommand(
                            "report",
                            "report [--format text|json|html] [LOG ...]",
                            "reports where and why requests were late or lost; reads standard input"
                                    + " without LOG",
                            List.of("--format NAME     text (default), json or html")),
                    new SubCommand(
                            "explain",
                            "explain REQUEST [LOG ...]",
                            "prints the events of one request; reads standard input without LOG",
                            List.of()),
                    new SubCommand(
                            "plan",
                            "--store IP:PORT plan DIR",
                            "prints the changes that apply would make",
                            List.of(STORE_OPTION)),
                    new SubCommand(
                            "apply",
                            "--store IP:PORT apply DIR [--wait-ms 10000]",
                            "makes the stored declarations equal to those in a directory",
                            List.of(
                                    STORE_OPTION,
                                    "--wait-ms MS      longest wait until all VMs use the changes;"
                                            + " milliseconds (default 10000)")),
                    new SubCommand(
                            "status",
                            "--store IP:PORT status [--json]",
                            "prints the state and revision of each VM, and the rollouts",
                            List.of(STORE_OPTION, "--json            prints JSON")),
                    new SubCommand(
                            "drain",
                            "--store IP:PORT drain MODEL VERSION",
                            "drains a version: sends it only requests of its existing sessions",
                            List.of(STORE_OPTION)),
                    new SubCommand(
                            "withdraw",
                            "--store IP:PORT withdraw MODEL VERSION",
                            "takes a version out of service: sends it no requests",
                            List.of(STORE_OPTION)),
                    new SubCommand(
                            "serve",
                            "--store IP:PORT serve MODEL VERSION",
                            "puts a version into service: sends it requests and new sessions",
                            List.of(STORE_OPTION)),
                    new SubCommand(
                            "rollout",
                            "--store IP:PORT rollout start ID CURRENT NEW | pause|resume|abort ID",
                            "starts, pauses, resumes or aborts a rollout from CURRENT to NEW",
                            List.of(STORE_OPTION)),
                    new SubCommand(
                            "reconcile",
                            "--store IP:PORT reconcile FILE",
                            "compares the bills with a list of complete requests, one id a line",
                            List.of(STORE_OPTION)));

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
     * @param name the name
     * @return the command; empty if there is none of this name
     */
    static Optional<SubCommand> find(final String name) {
        return ALL.stream().filter(c -> c.name().equals(name)).findFirst();
    }

    /**
     * Returns the usage of all commands.
     *
     * @return the text, several lines
     */
    static String overview() {
        final StringBuilder text = new StringBuilder();
        for (final SubCommand command : ALL) {
            text.append(text.isEmpty() ? "usage: " : "       ")
                    .append("fennelctl ")
                    .append(command.usage())
                    .append(System.lineSeparator());
        }
        return text.append("fennelctl COMMAND --help describes one command")
                .append(System.lineSeparator())
                .append(EXIT_CODES)
                .toString();
    }

    /**
     * Returns the usage, purpose and options of this command.
     *
     * @return the text, several lines
     */
    String help() {
        final StringBuilder text = new StringBuilder("usage: fennelctl ").append(usage);
        text.append(System.lineSeparator()).append(purpose).append(System.lineSeparator());
        options.forEach(o -> text.append("  ").append(o).append(System.lineSeparator()));
        return text.append(EXIT_CODES).toString();
    }
}
