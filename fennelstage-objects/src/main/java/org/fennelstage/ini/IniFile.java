package org.fennelstage.ini;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * One INI file. Each value is asked for with what is allowed; what is wrong, missing or never asked
 * for becomes a mistake, and {@link #finish} throws them all.
 *
 * <p>A value that is wrong reads as null, or the least allowed number; callers must not use what
 * they have built before {@link #finish} returned. Not thread-safe.
 */
public final class IniFile {

    /** How an address is written. */
    public static final String ADDRESS = "IP:PORT";

    private static final int MAX_PORT = 65535;
    private static final long MAX_MILLIS = 86_400_000;

    private final String name;
    private final INIConfiguration ini;
    private final List<String> mistakes = new ArrayList<>();
    private final Set<String> known = new TreeSet<>();
    private final Set<String> knownSections = new TreeSet<>();

    private IniFile(final String name, final INIConfiguration ini) {
        this.name = name;
        this.ini = ini;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return the file's content
     * @throws IniException if it cannot be read or is no INI file
     */
    public static IniFile read(final Path path) throws IniException {
        try (Reader reader = Files.newBufferedReader(path)) {
            return read(path.toString(), reader);
        } catch (final IOException e) {
            throw new IniException(List.of(path + ": cannot be read: " + e.getMessage()));
        }
    }

    /**
     * Reads a text.
     *
     * @param name its name for messages
     * @param reader the text
     * @return the content
     * @throws IniException if it is no INI text
     */
    public static IniFile read(final String name, final Reader reader) throws IniException {
        final INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(reader);
        } catch (final ConfigurationException | IOException e) {
            throw new IniException(List.of(name + ": not an INI file: " + e.getMessage()));
        }
        return new IniFile(name, ini);
    }

    /**
     * Returns the sections in the file.
     *
     * @return the names
     */
    public Set<String> sections() {
        return ini.getSections().stream().filter(s -> s != null).collect(Collectors.toSet());
    }

    /**
     * Reads a value.
     *
     * @param <T> its type
     * @param section the section
     * @param key the key
     * @param fallback the text if the key is missing, null if it must not be
     * @param allowed says what is allowed
     * @param parse reads the text; throws {@link IllegalArgumentException} if it is not allowed
     * @return the value, null if it is wrong
     */
    public <T> T value(
            final String section,
            final String key,
            final String fallback,
            final String allowed,
            final Function<String, T> parse) {
        known.add(section + "." + key);
        knownSections.add(section);
        final String text = ini.getSection(section).getString(key, fallback);
        if (text == null) {
            mistakes.add(where(section, key) + ": missing; allowed is " + allowed);
            return null;
        }
        try {
            return parse.apply(text.trim());
        } catch (final IllegalArgumentException e) {
            mistakes.add(where(section, key) + ": found '" + text + "'; allowed is " + allowed);
            return null;
        }
    }

    /**
     * Reads a number.
     *
     * @param section the section
     * @param key the key
     * @param fallback the text if the key is missing, null if it must not be
     * @param least the least allowed
     * @param most the most allowed
     * @return the number, the least if it is wrong
     */
    public double number(
            final String section,
            final String key,
            final String fallback,
            final double least,
            final double most) {
        final String allowed = "a number from " + plain(least) + " to " + plain(most);
        final Double found = value(section, key, fallback, allowed, t -> inRange(t, least, most));
        return found == null ? least : found;
    }

    /**
     * Reads a time in milliseconds, at most a day.
     *
     * @param section the section
     * @param key the key
     * @param fallback the text if the key is missing, null if it must not be
     * @return the time
     */
    public Duration millis(final String section, final String key, final String fallback) {
        return Duration.ofMillis((long) number(section, key, fallback, 1, MAX_MILLIS));
    }

    /**
     * Reads a TCP port; 0 takes any free one.
     *
     * @param section the section
     * @param key the key
     * @param fallback the text if the key is missing, null if it must not be
     * @return the port
     */
    public int port(final String section, final String key, final String fallback) {
        return (int) number(section, key, fallback, 0, MAX_PORT);
    }

    /**
     * Reads one of several words.
     *
     * @param section the section
     * @param key the key
     * @param fallback the text if the key is missing, null if it must not be
     * @param allowed the words
     * @return the word, any of them if it is wrong
     */
    public String oneOf(
            final String section,
            final String key,
            final String fallback,
            final Set<String> allowed) {
        final Set<String> sorted = new TreeSet<>(allowed);
        final String found =
                value(
                        section,
                        key,
                        fallback,
                        "one of " + sorted,
                        t -> {
                            if (!allowed.contains(t)) {
                                throw new IllegalArgumentException("not allowed");
                            }
                            return t;
                        });
        return found == null ? sorted.iterator().next() : found;
    }

    /**
     * Reads a list of values separated by commas or spaces.
     *
     * @param <T> the type of a value
     * @param section the section
     * @param key the key
     * @param fallback the text if the key is missing, null if it must not be
     * @param allowed says what a value may be
     * @param parse reads one value
     * @return the values, empty if one is wrong
     */
    public <T> List<T> list(
            final String section,
            final String key,
            final String fallback,
            final String allowed,
            final Function<String, T> parse) {
        final List<T> found =
                value(
                        section,
                        key,
                        fallback,
                        "a list of " + allowed,
                        t ->
                                Arrays.stream(t.split("[,\\s]+"))
                                        .filter(s -> !s.isEmpty())
                                        .map(parse)
                                        .toList());
        return found == null ? List.of() : found;
    }

    /**
     * Notes a mistake that concerns a whole section.
     *
     * @param section the section
     * @param detail what is wrong
     */
    public void mistake(final String section, final String detail) {
        mistakes.add(name + " [" + section + "]: " + detail);
    }

    /**
     * Adds what was never asked for to the mistakes, and throws them if there are any.
     *
     * @throws IniException if there are mistakes
     */
    public void finish() throws IniException {
        for (final String section : sections()) {
            if (knownSections.contains(section)) {
                ini.getSection(section).getKeys().forEachRemaining(k -> checkKnown(section, k));
            } else {
                mistakes.add(
                        name
                                + " ["
                                + section
                                + "]: unknown section; the nearest known is ["
                                + nearest(section, knownSections)
                                + "]");
            }
        }
        if (!mistakes.isEmpty()) {
            throw new IniException(mistakes);
        }
    }

    /**
     * Reads an address.
     *
     * @param text {@code IP:PORT}
     * @return the address
     * @throws IllegalArgumentException if the text has another form
     */
    public static InetSocketAddress address(final String text) {
        final int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("no port");
        }
        final int port = (int) inRange(text.substring(colon + 1), 1, MAX_PORT);
        return new InetSocketAddress(ip(text.substring(0, colon)), port);
    }

    /**
     * Reads an IP address.
     *
     * @param text the address
     * @return the text
     * @throws IllegalArgumentException if it is none
     */
    public static String ip(final String text) {
        if (!NetUtil.isValidIpV4Address(text) && !NetUtil.isValidIpV6Address(text)) {
            throw new IllegalArgumentException("not an IP address");
        }
        return text;
    }

    private void checkKnown(final String section, final String key) {
        final String full = section + "." + key;
        if (known.contains(full)) {
            return;
        }
        final Set<String> inSection =
                known.stream()
                        .filter(k -> k.startsWith(section + "."))
                        .map(k -> k.substring(section.length() + 1))
                        .collect(Collectors.toSet());
        mistakes.add(
                where(section, key)
                        + ": unknown key; the nearest known is '"
                        + nearest(key, inSection)
                        + "'");
    }

    private String where(final String section, final String key) {
        return name + " [" + section + "] " + key;
    }

    private static String nearest(final String text, final Set<String> candidates) {
        final LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
        return candidates.stream()
                .min(
                        Comparator.<String>comparingInt(c -> distance.apply(c, text))
                                .thenComparing(Comparator.naturalOrder()))
                .orElse("");
    }

    private static double inRange(final String text, final double least, final double most) {
        final double number = Double.parseDouble(text);
        if (!(number >= least && number <= most)) {
            throw new IllegalArgumentException("out of range");
        }
        return number;
    }

    private static String plain(final double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
