package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class DrainOverridesTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final DrainOverrides overrides = DrainOverrides.of(now::get);

    private static ServerEntry entry(final boolean draining) {
        return ServerTableTest.entry("a", draining);
    }

    /** Guards against requests to a drained server that a restored store lists as ready. */
    @Test
    void drainedServerIsTreatedAsDrainingForAWhileAfterARestore() {
        overrides.apply(entry(true));
        overrides.onStoreRestored();
        assertThat(overrides.apply(entry(false)).draining()).isTrue();
        now.addAndGet(DrainOverrides.OVERRIDE_MILLIS - 1);
        assertThat(overrides.endedOverride()).isEmpty();
    }

    /** Guards against excluding a running server forever after a restore. */
    @Test
    void entryThatIsStillListedAfterTheOverridePeriodIsUsed() {
        overrides.onRemoved(entry(false).incarnation());
        overrides.onStoreRestored();
        overrides.apply(entry(false));
        now.addAndGet(DrainOverrides.OVERRIDE_MILLIS);
        final ServerEntry ended = overrides.endedOverride().orElseThrow();
        assertThat(overrides.apply(ended).draining()).isFalse();
        assertThat(overrides.endedOverride()).isEmpty();
    }

    /** Guards against requests to a draining server while its entry still shows it as ready. */
    @Test
    void reportedDrainingOverridesEntriesOfTheIncarnationPermanently() {
        assertThat(overrides.onDrainingReported(entry(false).incarnation())).isTrue();
        assertThat(overrides.onDrainingReported(entry(false).incarnation())).isFalse();
        assertThat(overrides.apply(entry(false)).draining()).isTrue();
        overrides.onStoreRestored();
        now.addAndGet(DrainOverrides.OVERRIDE_MILLIS);
        assertThat(overrides.apply(entry(false)).draining()).isTrue();
        assertThat(overrides.apply(ServerTableTest.startedAt("a", 7)).draining()).isFalse();
    }

    @Test
    void entriesAreNotOverriddenWithoutARestore() {
        overrides.apply(entry(true));
        assertThat(overrides.apply(entry(false)).draining()).isFalse();
    }

    @Test
    void anotherIncarnationOfADrainedServerIsNotOverridden() {
        overrides.apply(entry(true));
        overrides.onStoreRestored();
        assertThat(overrides.apply(ServerTableTest.startedAt("a", 7)).draining()).isFalse();
    }

    @Test
    void overriddenEntryThatIsRemovedHasNoEndedOverride() {
        overrides.onRemoved(entry(false).incarnation());
        overrides.onStoreRestored();
        overrides.apply(entry(false));
        overrides.onRemoved(entry(false).incarnation());
        now.addAndGet(DrainOverrides.OVERRIDE_MILLIS);
        assertThat(overrides.endedOverride()).isEmpty();
    }
}
