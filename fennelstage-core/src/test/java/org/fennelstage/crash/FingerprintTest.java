package org.fennelstage.crash;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class FingerprintTest {

    private static Fingerprint of(
            final String host, final String target, final String caller, final String body) {
        return Fingerprint.of(host, target, caller, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void equalContentHasEqualFingerprints() {
        assertThat(of("a", "/n/1", "k", "text")).isEqualTo(of("a", "/n/1", "k", "text"));
    }

    @Test
    void hostTargetCallerAndBodyEachChangeTheFingerprint() {
        final Fingerprint one = of("a", "/n/1", "k", "text");
        assertThat(of("b", "/n/1", "k", "text")).isNotEqualTo(one);
        assertThat(of("a", "/n/2", "k", "text")).isNotEqualTo(one);
        assertThat(of("a", "/n/1", "l", "text")).isNotEqualTo(one);
        assertThat(of("a", "/n/1", "k", "texts")).isNotEqualTo(one);
    }

    @Test
    void movingACharacterBetweenTwoPartsChangesTheFingerprint() {
        assertThat(of("a", "/n", "kk", "")).isNotEqualTo(of("a", "/nk", "k", ""));
    }

    @Property
    void parseReversesToString(@ForAll final long bits) {
        final Fingerprint fingerprint = new Fingerprint(bits);
        assertThat(Fingerprint.parse(fingerprint.toString())).isEqualTo(fingerprint);
    }

    @Test
    void parseRejectsOtherText() {
        assertThatThrownBy(() -> Fingerprint.parse("03F9"))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
