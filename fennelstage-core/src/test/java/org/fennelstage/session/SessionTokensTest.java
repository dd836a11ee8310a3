package org.fennelstage.session;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.SessionId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;
import org.junit.jupiter.api.Test;

class SessionTokensTest {

    private static final KeyRing RING = KeyRing.of("k1", "secret");
    private static final Session SESSION =
            new Session(
                    SessionId.of("s1"),
                    TeamId.of("editors"),
                    ProfileId.of("draft"),
                    VersionId.of("pero", "v1"));

    @Test
    void signReturnsNothingWithoutACurrentKey() {
        assertThat(SessionTokens.sign(KeyRing.empty(), SESSION)).isEmpty();
    }

    @Test
    void verifyReturnsTheSignedSession() throws InvalidTokenException {
        final String token = SessionTokens.sign(RING, SESSION).orElseThrow();
        assertThat(SessionTokens.verify(RING, token)).isEqualTo(SESSION);
    }

    @Test
    void verifyAcceptsAnOldKeyThatIsStillInTheRing() throws InvalidTokenException {
        final String token = SessionTokens.sign(RING, SESSION).orElseThrow();
        final KeyRing rotated =
                new KeyRing(Optional.of("k2"), Map.of("k1", "secret", "k2", "other"));
        assertThat(SessionTokens.verify(rotated, token)).isEqualTo(SESSION);
    }

    @Test
    void verifyRejectsAKeyThatWasRemovedFromTheRing() {
        final String token = SessionTokens.sign(RING, SESSION).orElseThrow();
        assertThatThrownBy(() -> SessionTokens.verify(KeyRing.of("k2", "other"), token))
                .isInstanceOf(InvalidTokenException.class)
                .hasMessageContaining("unknown key");
    }

    @Property(seed = "21", tries = 400)
    void verifyRejectsEveryTokenWithAFlippedBit(
            @ForAll @IntRange(min = 0, max = 10_000) final int position,
            @ForAll @IntRange(min = 0, max = 6) final int bit) {
        final char[] token = SessionTokens.sign(RING, SESSION).orElseThrow().toCharArray();
        final int index = position % token.length;
        token[index] ^= (char) (1 << bit);
        assertThatThrownBy(() -> SessionTokens.verify(RING, new String(token)))
                .isInstanceOf(InvalidTokenException.class);
    }
}
