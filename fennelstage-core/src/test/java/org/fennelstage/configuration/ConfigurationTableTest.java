package org.fennelstage.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class ConfigurationTableTest {

    private static final ObjectKey KEY = ObjectKey.of("config", "versions", "pero@v1");

    @Test
    void mergeOfNoObjectsChangesNothing() {
        final ConfigurationTable table = ConfigurationTable.empty();
        assertThat(table.merge(List.of())).isEmpty();
        assertThat(table.digest()).isEqualTo(Digest.EMPTY);
    }

    /** A stale read must not put a withdrawn version back in use. */
    @Test
    void mergeIgnoresAnOlderValueThatArrivesLater() {
        final ConfigurationTable table = ConfigurationTable.empty();
        table.merge(List.of(object(KEY, 7, "withdrawn")));
        assertThat(table.merge(List.of(object(KEY, 5, "serving")))).isEmpty();
        assertThat(new String(table.all().get(0).value().get(), StandardCharsets.UTF_8))
                .isEqualTo("withdrawn");
    }

    /** A late message with an older value must not undo a deletion. */
    @Test
    void mergeKeepsATombstoneOverAnOlderValue() {
        final ConfigurationTable table = ConfigurationTable.empty();
        table.merge(List.of(StoredObject.tombstone(KEY, Revision.of(9))));
        table.merge(List.of(object(KEY, 8, "old")));
        assertThat(table.all().get(0).value()).isEmpty();
    }

    @Property(seed = "11", tries = 300)
    void mergeIsIndependentOfOrderAndRepetition(
            @ForAll("writes") final List<StoredObject> writes, @ForAll final int seed) {
        final List<StoredObject> shuffled = new ArrayList<>(writes);
        shuffled.addAll(writes);
        Collections.shuffle(shuffled, new Random(seed));
        final ConfigurationTable one = ConfigurationTable.empty();
        final ConfigurationTable other = ConfigurationTable.empty();
        one.merge(writes);
        shuffled.forEach(o -> other.merge(List.of(o)));
        assertThat(other.digest()).isEqualTo(one.digest());
        assertThat(other.all()).isEqualTo(one.all());
    }

    @Property(seed = "12", tries = 300)
    void revisionOfAKeyNeverDecreases(@ForAll("writes") final List<StoredObject> writes) {
        final ConfigurationTable table = ConfigurationTable.empty();
        final Map<ObjectKey, Revision> highest = new HashMap<>();
        for (final StoredObject write : writes) {
            table.merge(List.of(write));
            for (final StoredObject held : table.all()) {
                final Revision before = highest.getOrDefault(held.key(), Revision.NONE);
                assertThat(held.revision()).isGreaterThanOrEqualTo(before);
                highest.put(held.key(), held.revision());
            }
        }
    }

    @Property(seed = "13", tries = 200)
    void differentTablesHaveDifferentDigests(@ForAll("writes") final List<StoredObject> writes) {
        final ConfigurationTable whole = ConfigurationTable.empty();
        whole.merge(writes);
        for (final StoredObject missing : whole.all()) {
            final ConfigurationTable part = ConfigurationTable.empty();
            whole.all().stream()
                    .filter(o -> !o.key().equals(missing.key()))
                    .forEach(o -> part.merge(List.of(o)));
            assertThat(part.digest().hash()).isNotEqualTo(whole.digest().hash());
        }
    }

    @Provide
    Arbitrary<List<StoredObject>> writes() {
        final Arbitrary<StoredObject> write =
                Combinators.combine(
                                Arbitraries.integers().between(0, 4),
                                Arbitraries.integers().between(1, 50))
                        .as(ConfigurationTableTest::write);
        return write.list().ofMaxSize(30);
    }

    /** Derives the value from key and revision, since in the store these identify one value. */
    private static StoredObject write(final int key, final int revision) {
        final ObjectKey objectKey = ObjectKey.of("config", "k" + key);
        return (key + revision) % 5 == 0
                ? StoredObject.tombstone(objectKey, Revision.of(revision))
                : new StoredObject(objectKey, Revision.of(revision), java.util.Optional.of(VALUE));
    }

    private static final byte[] VALUE = {1};

    private static StoredObject object(
            final ObjectKey key, final long revision, final String value) {
        return StoredObject.of(key, Revision.of(revision), value.getBytes(StandardCharsets.UTF_8));
    }
}
