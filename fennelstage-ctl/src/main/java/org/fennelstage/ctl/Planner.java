package org.fennelstage.ctl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.objects.Declarations;
import org.fennelstage.objects.MalformedValueException;

/**
 * Computes the changes that make the store equal to the declarations. Stateless and thread-safe.
 */
final class Planner {

    private Planner() {}

    static List<Change> plan(
            final Map<ObjectKey, Object> declared, final List<StoredObject> stored) {
        final Map<ObjectKey, StoredObject> storedByKey = new HashMap<>();
        stored.stream()
                .filter(o -> o.value().isPresent())
                .forEach(o -> storedByKey.put(o.key(), o));
        final List<Change> changes = new ArrayList<>();
        declared.forEach(
                (key, declaration) -> {
                    final StoredObject current = storedByKey.get(key);
                    if (current == null) {
                        changes.add(new Change(key, Revision.NONE, Optional.of(declaration)));
                    } else if (!isUnchanged(current, declaration)) {
                        changes.add(new Change(key, current.revision(), Optional.of(declaration)));
                    }
                });
        storedByKey.values().stream()
                .filter(o -> !declared.containsKey(o.key()))
                .sorted((a, b) -> a.key().compareTo(b.key()))
                .forEach(o -> changes.add(new Change(o.key(), o.revision(), Optional.empty())));
        return changes;
    }

    private static boolean isUnchanged(final StoredObject current, final Object declaration) {
        try {
            return Declarations.decode(current).filter(declaration::equals).isPresent();
        } catch (final MalformedValueException e) {
            return false;
        }
    }
}
