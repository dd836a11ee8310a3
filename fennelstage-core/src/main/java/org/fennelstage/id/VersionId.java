package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies one version of a model; written {@code model@version}.
 *
 * <p>Invariant: {@code VersionId.parse(v.toString()).equals(v)}. Immutable and thread-safe.
 *
 * @param model the model
 * @param version the name of the version within the model
 */
public record VersionId(ModelId model, String version) implements Comparable<VersionId> {

    private static final char SEPARATOR = '@';

    public VersionId {
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(version, "version is null");
        Names.check("version", version);
    }

    /**
     * Returns the id of a version.
     *
     * @param model the model's name
     * @param version the version's name
     * @return the id
     * @throws IllegalArgumentException if either is not a valid name
     */
    public static VersionId of(final String model, final String version) {
        return new VersionId(ModelId.of(model), version);
    }

    /**
     * Parses {@code model@version}.
     *
     * @param text the text
     * @return the id
     * @throws IllegalArgumentException if the text has another form or contains an invalid name
     */
    public static VersionId parse(final String text) {
        final int at = text.indexOf(SEPARATOR);
        if (at < 0) {
            throw new IllegalArgumentException(
                    "invalid version '" + text + "': expected MODEL@VERSION");
        }
        return of(text.substring(0, at), text.substring(at + 1));
    }

    @Override
    public int compareTo(final VersionId other) {
        final int byModel = model.compareTo(other.model);
        return byModel != 0 ? byModel : version.compareTo(other.version);
    }

    @Override
    public String toString() {
        return model.value() + SEPARATOR + version;
    }
}
