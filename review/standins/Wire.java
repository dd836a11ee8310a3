import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Properties;

/** The platform's names and formats, which lie in files beside the classes. Thread-safe. */
final class Wire {

    private static final Properties NAMES = load();

    private Wire() {}

    /** Returns a name or format. */
    static String name(final String key) {
        final String name = NAMES.getProperty(key);
        if (name == null) {
            throw new IllegalArgumentException("no name for " + key);
        }
        return name;
    }

    /** Returns the text of a file. */
    static String text(final String file) throws IOException {
        try (InputStream in = Wire.class.getResourceAsStream("/wire/" + file)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static Properties load() {
        final Properties names = new Properties();
        try (InputStream in = Wire.class.getResourceAsStream("/wire/names.properties")) {
            names.load(in);
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
        return names;
    }
}
