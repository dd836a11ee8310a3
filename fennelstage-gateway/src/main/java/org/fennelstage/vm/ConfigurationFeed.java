package org.fennelstage.vm;

import java.util.List;
import java.util.Objects;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.history.Position;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.serving.ServingConfiguration;
import org.fennelstage.store.Follower;
import org.fennelstage.store.StoredValue;

/** Applies configurations from the store. Not thread-safe; confined to the event loop. */
final class ConfigurationFeed implements Follower.Listener<ServingConfiguration> {

    private final GatewayState state;

    ConfigurationFeed(final GatewayState state) {
        this.state = Objects.requireNonNull(state, "state is null");
    }

    @Override
    public void onAll(final List<StoredValue<ServingConfiguration>> values) {
        values.forEach(this::onChange);
    }

    @Override
    public void onChange(final StoredValue<ServingConfiguration> change) {
        change.value().ifPresent(c -> offer(c, change.position()));
    }

    private void offer(final ServingConfiguration configuration, final Position position) {
        final boolean applied = state.offer(configuration);
        EventLog.write(
                Event.CONFIGURATION_CHANGED,
                "version",
                configuration.version(),
                "revision",
                position,
                "in_force",
                applied);
    }
}
