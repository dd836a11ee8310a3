package org.fennelstage.spec;

import static org.assertj.core.api.Assertions.assertThat;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs every command of the Alloy specifications. A check expects no counterexample with all guards
 * and a counterexample with any one guard removed, which shows that the check can fail.
 */
class SpecificationTest {

    private static final int SATISFIABLE = 1;

    @TestFactory
    Stream<DynamicTest> everyCommandMeetsItsExpectation() {
        return Stream.of("claims", "bills", "configuration", "rollouts").flatMap(this::commands);
    }

    private Stream<DynamicTest> commands(final String name) {
        final Module module = CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file(name));
        return module.getAllCommands().stream()
                .map(
                        command ->
                                DynamicTest.dynamicTest(
                                        name + " " + command.label, () -> run(module, command)));
    }

    private static void run(final Module module, final Command command) {
        final A4Options options = new A4Options();
        final A4Solution solution =
                TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, module.getAllReachableSigs(), command, options);
        assertThat(command.expects).as("'expect' of command %s", command.label).isIn(0, 1);
        assertThat(solution.satisfiable()).isEqualTo(command.expects == SATISFIABLE);
    }

    private static String file(final String name) {
        try {
            return Path.of(
                            Objects.requireNonNull(
                                            SpecificationTest.class.getResource(
                                                    "/" + name + ".als"),
                                            "resource is null")
                                    .toURI())
                    .toString();
        } catch (final URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
