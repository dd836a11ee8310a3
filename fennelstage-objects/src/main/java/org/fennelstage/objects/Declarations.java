package org.fennelstage.objects;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.configuration.ConfigurationTable;
import org.fennelstage.configuration.Digest;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.profile.Profile;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.session.KeyRing;
import org.fennelstage.team.Team;

/**
 * The encoding of declarations in the object store: the declaration and a change id, by which a
 * writer that got no response recognises its own write. Stateless and thread-safe.
 */
public final class Declarations {

    private static final String CHANGE = "change";
    private static final String VALUE = "value";

    private Declarations() {}

    /**
     * A configuration and the malformed objects that were skipped.
     *
     * @param configuration the configuration without malformed objects
     * @param malformed one line for each malformed object
     */
    public record Decoded(Configuration configuration, List<String> malformed) {}

    /**
     * Encodes a declaration.
     *
     * @param changeId identifies the change
     * @param declaration the declaration
     * @return the bytes to store
     */
    public static byte[] encode(final String changeId, final Object declaration) {
        final var node = Json.mapper().createObjectNode();
        node.put(CHANGE, changeId);
        node.set(VALUE, Json.mapper().valueToTree(declaration));
        return Json.write(node);
    }

    /**
     * Returns the change id of a stored declaration.
     *
     * @param object the object
     * @return the id; empty for a tombstone or malformed JSON
     */
    public static Optional<String> changeId(final StoredObject object) {
        return object.value()
                .flatMap(
                        bytes -> {
                            try {
                                return Optional.of(
                                        Json.mapper().readTree(bytes).path(CHANGE).asText());
                            } catch (final IOException e) {
                                return Optional.empty();
                            }
                        });
    }

    /**
     * Decodes a declaration.
     *
     * @param object the stored object
     * @return the declaration; empty for a tombstone or an unknown kind
     * @throws MalformedValueException if the value is not a declaration of its kind
     */
    public static Optional<Object> decode(final StoredObject object)
            throws MalformedValueException {
        final Optional<DeclarationKind> kind = DeclarationKind.of(object.key());
        if (kind.isEmpty() || object.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            final JsonNode node = Json.mapper().readTree(object.value().get()).path(VALUE);
            return Optional.of(Json.mapper().treeToValue(node, kind.get().type()));
        } catch (final IOException | RuntimeException e) {
            throw new MalformedValueException(object.key().path(), e);
        }
    }

    /**
     * Decodes the configuration in a table. Malformed objects are skipped, so that one of them does
     * not prevent a VM from using the rest.
     *
     * @param table the table
     * @return the configuration and the skipped objects
     */
    public static Decoded decodeAll(final ConfigurationTable table) {
        final Digest digest = table.digest();
        final Configuration.Builder builder = new Configuration.Builder(digest);
        final List<String> malformed = new ArrayList<>();
        for (final StoredObject object : table.all()) {
            try {
                decode(object).ifPresent(d -> add(builder, d));
            } catch (final MalformedValueException e) {
                malformed.add(e.getMessage());
            }
        }
        return new Decoded(builder.build(), List.copyOf(malformed));
    }

    private static void add(final Configuration.Builder builder, final Object declaration) {
        if (declaration instanceof Profile profile) {
            builder.add(profile);
        } else if (declaration instanceof ModelVersion version) {
            builder.add(version);
        } else if (declaration instanceof Team team) {
            builder.add(team);
        } else if (declaration instanceof BackendServer server) {
            builder.add(server);
        } else if (declaration instanceof Rollout rollout) {
            builder.add(rollout);
        } else if (declaration instanceof KeyRing ring) {
            builder.add(ring);
        }
    }
}
