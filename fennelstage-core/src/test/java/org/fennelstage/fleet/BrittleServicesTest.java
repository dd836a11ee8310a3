package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.Test;

class BrittleServicesTest {

    private static final ServiceName SERVICE = ServiceName.of("models");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final BrittleServices services = BrittleServices.empty(now::get);

    @Test
    void aServiceIsBrittleWhileResponsesSaySo() {
        assertThat(services.onResponse(SERVICE, true)).isTrue();
        assertThat(services.onResponse(SERVICE, true)).isFalse();
        assertThat(services.isBrittle(SERVICE)).isTrue();
        assertThat(services.isBrittle(ServiceName.of("portal"))).isFalse();
        assertThat(services.onResponse(SERVICE, false)).isTrue();
        assertThat(services.isBrittle(SERVICE)).isFalse();
    }

    /** Guards against a service that stays brittle because no response ends it. */
    @Test
    void aReportEndsWithoutResponses() {
        services.onResponse(SERVICE, true);
        now.addAndGet(BrittleServices.TTL_MILLIS - 1);
        assertThat(services.isBrittle(SERVICE)).isTrue();
        now.addAndGet(1);
        assertThat(services.isBrittle(SERVICE)).isFalse();
    }
}
