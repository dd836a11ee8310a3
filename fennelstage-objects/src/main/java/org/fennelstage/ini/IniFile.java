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
 * An INI file. Callers read each value with a description of the allowed values; wrong and missing
 * values and unknown keys are collected, and {@link #finish} throws them all.
 *
 * <p>A wrong value reads as null, or as the smallest allowed number; callers must not use what they
 * have built before {@link #finish} has returned. Not thread-safe.
 */
public final class IniFile {

    /** The format of an address, for messages. */
    public static final String ADDRESS = "IP:PORT";

    private static final int MAX_PORT = 65535;
    private static final long MAX_MILLIS = 86_400_000;

    private final String name;
    private final INIConfiguration ini;
    private final List<String> mistakes = new ArrayList<>();
    private final Set<String> readKeys = new TreeSet<>();
    private final Set<String> readSections = new TreeSet<>();

    private IniFile(final String name, final INIConfiguration ini) {
        this.name = name;
        this.ini = ini;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return the file's content
     * @throws IniException if it cannot be read or is not an INI file
     */
    public static IniFile read(final Path path) throws IniException {
        try (Reader reader = Files.newBufferedReader(path)) {
            return read(path.toString(), reader);
        } catch (final IOException e) {
            throw new IniException(List.of(path + ": cannot be read: " + e.getMessage()));
        }
    }

    /**
     * Reads INI text.
     *
     * @param name the name of the text, for messages
     * @param reader the text
     * @return the content
     * @throws IniException if it cannot be read or is not an INI file
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
     * @param <T> the type of the value
     * @param section the section
     * @param key the key
     * @param fallback the text to use if the key is missing; null if the key is required
     * @param allowed a description of the allowed values, for messages
     * @param parse parses the text; throws {@link IllegalArgumentException} if it is not allowed
     * @return the value; null if it is wrong or missing
     */
    public <T> T value(
            final String section,
            final String key,
            final String fallback,
            final String allowed,
            final Function<String, T> parse) {
        readKeys.add(section + "." + key);
        readSections.add(section);
        final String text = ini.getSection(section).getString(key, fallback);
        if (text == null) {
            mistakes.add(location(section, key) + ": missing; allowed is " + allowed);
            return null;
        }
        try {
            return parse.apply(text.trim());
        } catch (final IllegalArgumentException e) {
            mistakes.add(location(section, key) + ": found '" + text + "'; allowed is " + allowed);
            return null;
        }
    }

    /**
     * Reads a number.
     *
     * @param section the section
     * @param key the key
     * @param fallback the text to use if the key is missing; null if the key is required
     * @param min the smallest allowed number
     * @param max the largest allowed number
     * @return the number; the smallest allowed if it is wrong or missing
     */
    public double number(
            final String section,
            final String key,
            final String fallback,
            final double min,
            final double max) {
        final String allowed = "a number from " + format(min) + " to " + format(max);
        final Double found = value(section, key, fallback, allowed, t -> parseInRange(t, min, max));
        return found == null ? min : found;
    }

    /**
     * Reads a duration in milliseconds, at most one day.
     *
     * @param section the section
     * @param key the key
     * @param fallback the text to use if the key is missing; null if the key is required
     * @return the duration; 1 ms if it is wrong or missing
     */
    public Duration millis(final String section, final String key, final String fallback) {
        return Duration.ofMillis((long) number(section, key, fallback, 1, MAX_MILLIS));
    }

    /**
     * Reads a TCP port; 0 selects a free port.
     *
     * @param section the section
     * @param key the key
     * @param fallback the text to use if the key is missing; null if the key is required
     * @return the port; 0 if it is wrong or missing
     */
    public int port(final String section, final String key, final String fallback) {
        return (int) number(section, key, fallback, 0, MAX_PORT);
    }

    /**
     * Reads one of several allowed values.
     *
     * @param section the section
     * @param key the key
     * @param fallback the text to use if the key is missing; null if the key is required
     * @param allowed the allowed values
     * @return the value; the first allowed in natural order if it is wrong or missing
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
     * @param fallback the text to use if the key is missing; null if the key is required
     * @param allowed a description of the allowed values, for messages
     * @param parse parses one value; throws {@link IllegalArgumentException} if it is not allowed
     * @return the values; empty if one is wrong or the key is missing
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
     * Adds a mistake about a whole section.
     *
     * @param section the section
     * @param detail a description of the mistake
     */
    public void mistake(final String section, final String detail) {
        mistakes.add(name + " [" + section + "]: " + detail);
    }

    /**
     * Adds unknown sections and keys to the mistakes, and throws the mistakes if there are any.
     *
     * @throws IniException if there are mistakes
     */
    public void finish() throws IniException {
        for (final String section : sections()) {
            if (readSections.contains(section)) {
                ini.getSection(section).getKeys().forEachRemaining(k -> checkKnown(section, k));
            } else {
                mistakes.add(
                        name
                                + " ["
                                + section
                                + "]: unknown section; the nearest known is ["
                                + nearest(section, readSections)
                                + "]");
            }
        }
        if (!mistakes.isEmpty()) {
            throw new IniException(mistakes);
        }
    }

    /**
     * Parses an address.
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
        final int port = (int) parseInRange(text.substring(colon + 1), 1, MAX_PORT);
        return new InetSocketAddress(ip(text.substring(0, colon)), port);
    }

    /**
     * Validates an IP address.
     *
     * @param text the address
     * @return the text
     * @throws IllegalArgumentException if the text is not an IP address
     */
    public static String ip(final String text) {
        if (!NetUtil.isValidIpV4Address(text) && !NetUtil.isValidIpV6Address(text)) {
            throw new IllegalArgumentException("not an IP address");
        }
        return text;
    }

    private void checkKnown(final String section, final String key) {
        final String full = section + "." + key;
        if (readKeys.contains(full)) {
            return;
        }
        final Set<String> inSection =
                readKeys.stream()
                        .filter(k -> k.startsWith(section + "."))
                        .map(k -> k.substring(section.length() + 1))
                        .collect(Collectors.toSet());
        mistakes.add(
                location(section, key)
                        + ": unknown key; the nearest known is '"
                        + nearest(key, inSection)
                        + "'");
    }

    private String location(final String section, final String key) {
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

    private static double parseInRange(final String text, final double min, final double max) {
        final double number = Double.parseDouble(text);
        if (!(number >= min && number <= max)) {
            throw new IllegalArgumentException("out of range");
        }
        return number;
    }

    private static String format(final double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
