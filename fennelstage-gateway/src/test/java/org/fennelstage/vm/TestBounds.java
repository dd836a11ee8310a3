package org.fennelstage.vm;

import java.time.Duration;
import org.fennelstage.gateway.GatewaySettings;

/** Deployment bounds for the tests of this package. */
final class TestBounds {

    static final GatewaySettings BOUNDS =
            new GatewaySettings(
                    0.9,
                    Duration.ofSeconds(10),
                    50,
                    0.1,
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(8));

    private TestBounds() {}
}
