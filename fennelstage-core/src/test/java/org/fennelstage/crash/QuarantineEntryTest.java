package org.fennelstage.crash;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QuarantineEntryTest {

    @Property
    void textRoundTrip(@ForAll final long bits, @ForAll @IntRange(max = 9) final int trial) {
        final QuarantineEntry entry = new QuarantineEntry(new Fingerprint(bits), trial);
        assertThat(QuarantineEntry.parse(entry.toString())).isEqualTo(entry);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "7", "0123456789abcdeg", "0123456789abcdef-0", "0123456789abcdef-"})
    void otherTextIsRejected(final String text) {
        assertThatThrownBy(() -> QuarantineEntry.parse(text))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
