package org.fennelstage.cascade;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.VersionId;
import org.fennelstage.profile.Profile;
import org.junit.jupiter.api.Test;

class CascadePolicyTest {

    private static final Profile PROFILE =
            new Profile(
                    ProfileId.of("digest"),
                    List.of(ModelId.of("small"), ModelId.of("large")),
                    0.7,
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(10),
                    true,
                    64);
    private static final VersionId SMALL = VersionId.of("small", "v1");
    private static final VersionId LARGE = VersionId.of("large", "v1");
    private static final CascadePolicy.Option CHEAP = new CascadePolicy.Option(SMALL, 1, 1);
    private static final CascadePolicy.Option BEST = new CascadePolicy.Option(LARGE, 12, 3);

    private final RatingTable table = RatingTable.empty();
    private final CascadePolicy policy = CascadePolicy.of(table);

    @Test
    void planIsACascadeWithoutRatings() {
        assertThat(plan(10)).isEqualTo(CascadePolicy.Plan.CASCADE);
        assertThat(policy.accepts(PROFILE, SMALL, LARGE, 0.9)).isFalse();
    }

    /** A cascade that cannot finish before the deadline makes the response late. */
    @Test
    void planIsTheBestVersionWithoutTimeForBothAnswers() {
        assertThat(plan(3.5)).isEqualTo(CascadePolicy.Plan.BEST);
    }

    @Test
    void planIsTheCheapVersionOnceItsMeanRatingSuffices() {
        rate(SMALL, 0.7, 200, 0.75);
        assertThat(plan(1.5)).isEqualTo(CascadePolicy.Plan.CHEAP);
    }

    @Test
    void acceptsCheapAnswersOnlyFromTheConfidenceAtWhichTheMeanRatingSuffices() {
        rate(LARGE, 0.9, 100, 0.72);
        rate(SMALL, 0.85, 100, 0.8);
        rate(SMALL, 0.45, 100, 0.4);
        assertThat(policy.accepts(PROFILE, SMALL, LARGE, 0.85)).isTrue();
        assertThat(policy.accepts(PROFILE, SMALL, LARGE, 0.45)).isFalse();
        assertThat(plan(10)).isEqualTo(CascadePolicy.Plan.CASCADE);
    }

    @Test
    void planIsTheBestVersionWhenCheapAnswersAreRarelyAccepted() {
        rate(SMALL, 0.35, 300, 0.3);
        assertThat(plan(10)).isEqualTo(CascadePolicy.Plan.BEST);
    }

    private CascadePolicy.Plan plan(final double secondsLeft) {
        return policy.plan(PROFILE, CHEAP, BEST, secondsLeft, 0.5);
    }

    private void rate(
            final VersionId version,
            final double confidence,
            final int count,
            final double rating) {
        for (int i = 0; i < count; i++) {
            table.recordAnswer(PROFILE.id(), version, confidence);
            table.recordRating(PROFILE.id(), version, confidence, rating);
        }
    }
}
