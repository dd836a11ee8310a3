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

/** JSON encoding of the core types; ids are encoded as strings. Stateless and thread-safe. */
public final class Json {

    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .registerModule(idModule())
                    .registerModule(new Jdk8Module())
                    .registerModule(new JavaTimeModule())
                    .configure(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS, false)
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private Json() {}

    /**
     * Returns the shared mapper.
     *
     * @return the mapper; must not be configured further
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Encodes a value of a core type.
     *
     * @param value the value
     * @return its JSON in UTF-8
     * @throws IllegalStateException if the value's type cannot be encoded
     */
    public static byte[] write(final Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException(
                    "cannot encode " + value.getClass().getName() + " as JSON", e);
        }
    }

    /**
     * Decodes a value.
     *
     * @param <T> the type of the value
     * @param bytes JSON in UTF-8
     * @param type the class of the value
     * @return the value
     * @throws MalformedValueException if the bytes do not encode a value of this type
     */
    public static <T> T read(final byte[] bytes, final Class<T> type)
            throws MalformedValueException {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (final IOException e) {
            throw new MalformedValueException(type.getSimpleName(), e);
        }
    }

    private static SimpleModule idModule() {
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
        module.setMixInAnnotation(Evidence.class, EvidenceMixIn.class);
        return module;
    }

    private static <T> void add(
            final SimpleModule module, final Class<T> type, final Function<String, T> parse) {
        module.addSerializer(type, new TextSerializer<>(type));
        module.addDeserializer(type, new TextDeserializer<>(type, parse));
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

    /** JSON properties of {@link Evidence}, which has no accessors of these names. */
    private abstract static class EvidenceMixIn {

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

    private static final class TextSerializer<T> extends StdScalarSerializer<T> {
        private static final long serialVersionUID = 1L;

        TextSerializer(final Class<T> type) {
            super(type);
        }

        @Override
        public void serialize(
                final T value, final JsonGenerator generator, final SerializerProvider provider)
                throws IOException {
            generator.writeString(value.toString());
        }
    }

    private static final class TextDeserializer<T> extends StdScalarDeserializer<T> {
        private static final long serialVersionUID = 1L;
        private final transient Function<String, T> parse;

        TextDeserializer(final Class<T> type, final Function<String, T> parse) {
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
