package org.fennelstage.objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdScalarSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;
import java.util.function.Function;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;
import org.fennelstage.id.VmId;
import org.fennelstage.rollout.Evidence;

/** JSON form of the core types: ids are plain strings. Stateless and thread-safe. */
public final class Json {

    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .registerModule(ids())
                    .registerModule(new Jdk8Module())
                    .registerModule(new JavaTimeModule())
                    .configure(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS, false)
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private Json() {}

    /**
     * Returns the shared mapper.
     *
     * @return the mapper; it must not be configured further
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Writes a value of a core type.
     *
     * @param value the value
     * @return its JSON in UTF-8
     */
    public static byte[] write(final Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("core types have a JSON form", e);
        }
    }

    /**
     * Reads a value.
     *
     * @param <T> its type
     * @param bytes JSON in UTF-8
     * @param type its type
     * @return the value
     * @throws MalformedValueException if the bytes are not such a value
     */
    public static <T> T read(final byte[] bytes, final Class<T> type)
            throws MalformedValueException {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (final IOException e) {
            throw new MalformedValueException(type.getSimpleName(), e);
        }
    }

    private static SimpleModule ids() {
        final SimpleModule module = new SimpleModule("fennelstage-ids");
        add(module, RequestId.class, RequestId::of);
        add(module, TeamId.class, TeamId::of);
        add(module, ProfileId.class, ProfileId::of);
        add(module, ModelId.class, ModelId::of);
        add(module, VersionId.class, VersionId::parse);
        add(module, VmId.class, VmId::of);
        add(module, DataCentreId.class, DataCentreId::of);
        add(module, BackendServerId.class, BackendServerId::of);
        add(module, ServiceName.class, ServiceName::of);
        add(module, RolloutId.class, RolloutId::of);
        module.setMixInAnnotation(Evidence.class, EvidenceForm.class);
        return module;
    }

    private static <T> void add(
            final SimpleModule module, final Class<T> type, final Function<String, T> parse) {
        module.addSerializer(type, new ToText<>(type));
        module.addDeserializer(type, new FromText<>(type, parse));
        module.addKeyDeserializer(
                type,
                new KeyDeserializer() {
                    @Override
                    public Object deserializeKey(
                            final String key, final DeserializationContext context) {
                        return parse.apply(key);
                    }
                });
    }

    /** The JSON form of {@link Evidence}, whose totals are not plain accessors. */
    private abstract static class EvidenceForm {

        @JsonProperty("exposed")
        abstract long exposed();

        @JsonProperty("judged")
        abstract long[] judgedTotals();

        @JsonProperty("bad")
        abstract long[] badTotals();

        @JsonCreator
        static Evidence of(
                @JsonProperty("exposed") final long exposed,
                @JsonProperty("judged") final long[] judged,
                @JsonProperty("bad") final long[] bad) {
            return Evidence.of(exposed, judged, bad);
        }
    }

    private static final class ToText<T> extends StdScalarSerializer<T> {
        private static final long serialVersionUID = 1L;

        ToText(final Class<T> type) {
            super(type);
        }

        @Override
        public void serialize(
                final T value, final JsonGenerator generator, final SerializerProvider provider)
                throws IOException {
            generator.writeString(value.toString());
        }
    }

    private static final class FromText<T> extends StdScalarDeserializer<T> {
        private static final long serialVersionUID = 1L;
        private final transient Function<String, T> parse;

        FromText(final Class<T> type, final Function<String, T> parse) {
            super(type);
            this.parse = parse;
        }

        @Override
        public T deserialize(final JsonParser parser, final DeserializationContext context)
                throws IOException {
            final String text = parser.getValueAsString();
            try {
                return parse.apply(text);
            } catch (final IllegalArgumentException e) {
                throw new IOException(e.getMessage(), e);
            }
        }
    }
}
