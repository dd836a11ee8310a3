package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class RecentServersTest {

    private static BackendServerId server(final int number) {
        return BackendServerId.of("i-" + number);
    }

    @Test
    void theServerHeardOfLongestAgoGoesFirst() {
        final RecentServers servers = RecentServers.empty();
        for (int i = 0; i < RecentServers.MOST_KEPT; i++) {
            servers.put(server(i), Incarnation.of(server(i)));
        }
        assertThat(servers.get(server(0))).isNotNull();
        servers.put(
                server(RecentServers.MOST_KEPT), Incarnation.of(server(RecentServers.MOST_KEPT)));
        assertThat(servers).hasSize(RecentServers.MOST_KEPT);
        assertThat(servers.containsKey(server(0))).isTrue();
        assertThat(servers.containsKey(server(1))).isFalse();
    }
}
