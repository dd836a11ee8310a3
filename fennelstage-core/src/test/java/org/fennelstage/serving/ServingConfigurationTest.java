package org.fennelstage.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.TeamId;
import org.junit.jupiter.api.Test;

class ServingConfigurationTest {

    private static Route route(final String name, final String host, final String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                false,
                false,
                List.of(new WeightedService(ServiceName.of("portal"), 1)),
                2,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ZERO,
                2,
                List.of());
    }

    private final ServingConfiguration configuration =
            ServingConfiguration.of(
                    7,
                    List.of(
                            route("short", "a.example", "/x/"),
                            route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/")),
                    List.of(),
                    CallerLimits.UNTIL_CONFIGURED,
                    Map.of("k1", new TeamAccess(TeamId.of("news"), OptionalInt.of(1))),
                    true);

    @Test
    void theRouteWithTheLongestPrefixMatches() {
        assertThat(configuration.route("a.example", "/x/y/z").orElseThrow().name())
                .isEqualTo("long");
        assertThat(configuration.route("a.example", "/x/z").orElseThrow().name())
                .isEqualTo("short");
    }

    @Test
    void portAndCaseOfTheHostAreIgnored() {
        assertThat(configuration.route("B.Example:8080", "/any")).isPresent();
    }

    @Test
    void noRouteMatchesAnotherPathOrHost() {
        assertThat(configuration.route("a.example", "/xy")).isEmpty();
        assertThat(configuration.route("c.example", "/x/")).isEmpty();
    }

    @Test
    void aKeyBelongsToItsTeam() {
        assertThat(configuration.access("k1").orElseThrow().team()).isEqualTo(TeamId.of("news"));
        assertThat(configuration.access("k2")).isEmpty();
    }

    @Test
    void servicesAreSelectedByTheirWeights() {
        final Route split =
                new Route(
                        "split",
                        "a",
                        "/",
                        RouteKind.STREAM,
                        true,
                        false,
                        List.of(
                                new WeightedService(ServiceName.of("a"), 90),
                                new WeightedService(ServiceName.of("b"), 10)),
                        1,
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(1),
                        Duration.ZERO,
                        0,
                        List.of());
        assertThat(split.service(0.89).orElseThrow().service()).isEqualTo(ServiceName.of("a"));
        assertThat(split.service(0.91).orElseThrow().service()).isEqualTo(ServiceName.of("b"));
    }
}
