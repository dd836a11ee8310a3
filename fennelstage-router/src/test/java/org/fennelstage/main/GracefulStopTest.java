package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class GracefulStopTest {

    private final AtomicReference<Thread> hook = new AtomicReference<>();
    private final List<String> stopped = new ArrayList<>();

    /** Guards against a VM that is cut because it was told to end before its start had returned. */
    @Test
    void whatIsToldToEndWhileItStartsIsStoppedOnceItRuns() throws Exception {
        GracefulStop.start(this::startWhileToldToEnd, stopped::add, hook::set);
        hook.get().join(TimeUnit.SECONDS.toMillis(10));
        assertThat(hook.get().isAlive()).isFalse();
        assertThat(stopped).containsExactly("vm");
    }

    /** Guards against a process that never ends because its VM did not start. */
    @Test
    void whatDoesNotStartIsNotStopped() throws Exception {
        assertThatThrownBy(() -> GracefulStop.start(this::failToStart, stopped::add, hook::set))
                .isInstanceOf(IOException.class);
        hook.get().start();
        hook.get().join(TimeUnit.SECONDS.toMillis(10));
        assertThat(hook.get().isAlive()).isFalse();
        assertThat(stopped).isEmpty();
    }

    private String failToStart() throws IOException {
        throw new IOException("cannot listen");
    }

    private String startWhileToldToEnd() {
        hook.get().start();
        return "vm";
    }
}
