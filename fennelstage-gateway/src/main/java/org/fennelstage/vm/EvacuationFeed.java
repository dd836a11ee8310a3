package org.fennelstage.vm;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fennelstage.fleet.Evacuations;
import org.fennelstage.gateway.Beliefs;
import org.fennelstage.history.Position;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.store.Follower;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoredValue;

/** Brings the operators' orders to empty data centres into force. Confined to the event loop. */
final class EvacuationFeed implements Follower.Listener<DataCentreId> {

    private final Beliefs beliefs;
    private final Evacuations evacuations;
    private final Runnable afterList;
    private boolean unsettled;
    private long settledAtMillis;

    EvacuationFeed(final Beliefs beliefs, final Runnable afterList) {
        this.beliefs = Objects.requireNonNull(beliefs, "beliefs is null");
        this.evacuations = beliefs.evacuations();
        this.afterList = Objects.requireNonNull(afterList, "afterList is null");
    }

    @Override
    public void onAll(final List<StoredValue<DataCentreId>> values) {
        final Set<DataCentreId> listed =
                values.stream()
                        .map(StoredValue::value)
                        .flatMap(Optional::stream)
                        .collect(Collectors.toSet());
        listed.stream().filter(dc -> !evacuations.includes(dc)).forEach(dc -> logBegun(dc, "list"));
        evacuations.replaceAll(listed).forEach(dc -> onTakenBack(dc, "list"));
        afterList.run();
    }

    @Override
    public void onChange(final StoredValue<DataCentreId> change) {
        if (change.value().isPresent()) {
            final DataCentreId dataCentre = change.value().get();
            if (evacuations.begin(dataCentre)) {
                logBegun(dataCentre, change.position());
            }
        } else {
            dataCentre(change.name())
                    .filter(evacuations::end)
                    .ifPresent(dc -> onTakenBack(dc, change.position()));
        }
    }

    @Override
    public void onPosition(final Position position) {
        evacuations.onStoreRead();
    }

    @Override
    public void onStoreRestored() {
        evacuations.onStoreRestored();
        unsettled = true;
        settledAtMillis = beliefs.clock().millis() + Beliefs.REWRITE_MILLIS;
    }

    /**
     * Takes the store at its word again, once operators have had the time to write again what it
     * lost. To be called a few times a second.
     */
    void settle() {
        if (unsettled && beliefs.clock().millis() >= settledAtMillis) {
            unsettled = false;
            evacuations.settle().forEach(dc -> onTakenBack(dc, "settled"));
        }
    }

    private void onTakenBack(final DataCentreId dataCentre, final Object source) {
        beliefs.onTakenBack(dataCentre);
        EventLog.write(Event.EVACUATION_ENDED, "data_centre", dataCentre, "source", source);
    }

    private static void logBegun(final DataCentreId dataCentre, final Object source) {
        EventLog.write(Event.EVACUATION_STARTED, "data_centre", dataCentre, "source", source);
    }

    /** Another writer may use names that no data centre can have; those name none. */
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
