package org.fennelstage.speed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.Test;

class SampleKindTest {

    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final DataCentreId NEAR = DataCentreId.of("near");

    /** Guards against times per event that are compared with times of whole responses. */
    @Test
    void modelAndRouteOfTheSameNameDiffer() {
        assertThat(new SampleKind(SERVICE, SampleKind.Type.WHOLE, "chat", Optional.empty()))
                .isNotEqualTo(SampleKind.ofStream(SERVICE, Optional.of(ModelId.of("chat"))));
    }

    /** Guards against servers of another data centre that count as slow for the round trip. */
    @Test
    void routesOfDifferentDataCentresDiffer() {
        assertThat(SampleKind.ofRoute(SERVICE, "tag", NEAR))
                .isNotEqualTo(SampleKind.ofRoute(SERVICE, "tag", DataCentreId.of("far")))
                .isEqualTo(SampleKind.ofRoute(SERVICE, "tag", NEAR));
    }
}
