package org.fennelstage.vm;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fennelstage.fleet.Evacuations;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.history.Position;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.store.Follower;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoredValue;

/**
 * Applies the operators' evacuations from the store. Not thread-safe; confined to the event loop.
 */
final class EvacuationFeed implements Follower.Listener<DataCentreId> {

    private final GatewayState state;
    private final Evacuations evacuations;
    private final Runnable afterList;
    private boolean awaitingRewrites;
    private long rewritesEndMillis;

    EvacuationFeed(final GatewayState state, final Runnable afterList) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.evacuations = state.evacuations();
        this.afterList = Objects.requireNonNull(afterList, "afterList is null");
    }

    @Override
    public void onAll(final List<StoredValue<DataCentreId>> values) {
        final Set<DataCentreId> listed =
                values.stream()
                        .map(StoredValue::value)
                        .flatMap(Optional::stream)
                        .collect(Collectors.toSet());
        listed.stream()
                .filter(dc -> !evacuations.includes(dc))
                .forEach(dc -> logStarted(dc, "list"));
        evacuations.replaceAll(listed).forEach(dc -> onEnded(dc, "list"));
        afterList.run();
    }

    @Override
    public void onChange(final StoredValue<DataCentreId> change) {
        if (change.value().isPresent()) {
            final DataCentreId dataCentre = change.value().get();
            if (evacuations.begin(dataCentre)) {
                logStarted(dataCentre, change.position());
            }
        } else {
            dataCentre(change.name())
                    .filter(evacuations::end)
                    .ifPresent(dc -> onEnded(dc, change.position()));
        }
    }

    @Override
    public void onPosition(final Position position) {
        evacuations.onStoreRead();
    }

    @Override
    public void onStoreRestored() {
        evacuations.onStoreRestored();
        awaitingRewrites = true;
        rewritesEndMillis = state.clock().millis() + GatewayState.REWRITE_MILLIS;
    }

    /**
     * Ends evacuations that a restored store lacks, once operators have had time to write them
     * again. Called a few times a second.
     */
    void endUnconfirmed() {
        if (awaitingRewrites && state.clock().millis() >= rewritesEndMillis) {
            awaitingRewrites = false;
            evacuations.settle().forEach(dc -> onEnded(dc, "settled"));
        }
    }

    private void onEnded(final DataCentreId dataCentre, final Object source) {
        state.onEvacuationEnded(dataCentre);
        EventLog.write(Event.EVACUATION_ENDED, "data_centre", dataCentre, "source", source);
    }

    private static void logStarted(final DataCentreId dataCentre, final Object source) {
        EventLog.write(Event.EVACUATION_STARTED, "data_centre", dataCentre, "source", source);
    }

    /** Returns the data centre of a name, empty if the name is invalid. */
    private static Optional<DataCentreId> dataCentre(final String name) {
        try {
            return Optional.of(DataCentreId.of(name));
        } catch (final IllegalArgumentException e) {
            EventLog.write(
                    Event.OBJECT_MALFORMED,
                    "kind",
                    StoreKind.EVACUATIONS,
                    "problem",
                    e.getMessage());
            return Optional.empty();
        }
    }
}
