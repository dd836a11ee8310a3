package org.fennelstage.spec;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks that {@code guards/run.py} can remove each guard of {@code guards/guards.json}; the script
 * itself takes too long for every build.
 */
class GuardsTest {

    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();

    private record Guard(
            String name, String file, String code, String replacement, List<String> tests) {}

    private static List<Guard> guards() throws IOException {
        final Path file = ROOT.resolve("spec/guards/guards.json");
        return new ObjectMapper().readValue(file.toFile(), new TypeReference<>() {});
    }

    private static int occurrences(final String text, final String code) {
        return (text.length() - text.replace(code, "").length()) / code.length();
    }

    /** Guards against a guard that removes nothing since its code has changed. */
    @Test
    void codeOfEachGuardOccursOnceInItsFile() throws IOException {
        final List<String> missing = new ArrayList<>();
        for (final Guard guard : guards()) {
            final String source = Files.readString(ROOT.resolve(guard.file()));
            if (occurrences(source, guard.code()) != 1) {
                missing.add(guard.name());
            }
        }
        assertThat(missing).isEmpty();
    }

    @Test
    void namesOfGuardsAreUnique() throws IOException {
        assertThat(guards().stream().map(Guard::name)).doesNotHaveDuplicates();
    }

    @Test
    void eachGuardChangesItsCode() throws IOException {
        assertThat(guards()).allSatisfy(g -> assertThat(g.replacement()).isNotEqualTo(g.code()));
    }
}
