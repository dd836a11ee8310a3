package org.fennelstage.settings;

import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;

/**
 * Reads settings from an INI file and collects every mistake before it gives up.
 *
 * <p>Not thread-safe; one instance reads one file.
 */
public final class SettingsFile {

    private static final int MAX_PORT = 65535;
    private static final String ADDRESS = "IP:PORT";

    private final String file;
    private final INIConfiguration ini;
    private final List<String> mistakes = new ArrayList<>();
    private final Set<String> known = new TreeSet<>();

    private SettingsFile(final String file, final INIConfiguration ini) {
        this.file = file;
        this.ini = ini;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return the settings
     * @throws InvalidSettingsException if the file cannot be read or has mistakes
     */
    public static Settings read(final Path path) throws InvalidSettingsException {
        try (Reader reader = Files.newBufferedReader(path)) {
            return read(path.toString(), reader);
        } catch (final IOException e) {
            throw new InvalidSettingsException(
                    List.of(path + ": cannot be read: " + e.getMessage()));
        }
    }

    /**
     * Reads settings.
     *
     * @param name the file's name for messages
     * @param reader the text
     * @return the settings
     * @throws InvalidSettingsException if the text has mistakes
     */
    public static Settings read(final String name, final Reader reader)
            throws InvalidSettingsException {
        final INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(reader);
        } catch (final ConfigurationException | IOException e) {
            throw new InvalidSettingsException(
                    List.of(name + ": not an INI file: " + e.getMessage()));
        }
        return new SettingsFile(name, ini).settings();
    }

    private Settings settings() throws InvalidSettingsException {
        final Settings settings =
                new Settings(
                        new Settings.Vm(
                                value("vm", "id", null, "a name", VmId::of),
                                value("vm", "data_centre", null, "a name", DataCentreId::of)),
                        listen(),
                        platform(),
                        value("peers", "seeds", "", "a list of " + ADDRESS, this::addresses),
                        limits(),
                        claims(),
                        rating(),
                        new Settings.Tls(keyFiles("callers"), keyFiles("peers")),
                        log(),
                        millis("shutdown", "drain_ms", "30000"));
        checkUnknown();
        if (!mistakes.isEmpty()) {
            throw new InvalidSettingsException(mistakes);
        }
        return settings;
    }

    private Settings.Listen listen() {
        return new Settings.Listen(
                value("listen", "host", "127.0.0.1", "an IP address", this::ip),
                port("port", "8080"),
                value("listen", "admin_host", "127.0.0.1", "an IP address", this::ip),
                port("admin_port", "8081"),
                port("peer_port", "8082"));
    }

    private Settings.Platform platform() {
        return new Settings.Platform(
                value("platform", "objects", null, ADDRESS, this::address),
                number("platform", "calls_per_second", "5", 0.1, 1000),
                number("platform", "burst", "40", 1, 10000),
                millis("platform", "timeout_ms", "2000"));
    }

    private Settings.Limits limits() {
        return new Settings.Limits(
                (int) number("limits", "max_header_bytes", "16384", 1024, 1 << 20),
                (int) number("limits", "max_body_bytes", "1048576", 1024, 1 << 26),
                millis("limits", "idle_ms", "30000"));
    }

    private Settings.Claims claims() {
        return new Settings.Claims(
                (int) number("claims", "slots", "16", 1, 4096),
                millis("claims", "wait_ms", "2000"));
    }

    private Settings.Rating rating() {
        return new Settings.Rating(
                value(
                        "rating",
                        "address",
                        "",
                        ADDRESS + " or nothing",
                        t -> t.isEmpty() ? Optional.empty() : Optional.of(address(t))),
                number("rating", "share", "0.2", 0, 1));
    }

    private Settings.Log log() {
        return new Settings.Log(
                oneOf("log", "format", "text", Set.of("text", "json")).equals("json"),
                oneOf("log", "level", "info", Set.of("debug", "info", "warn", "error")));
    }

    private Optional<Settings.KeyFiles> keyFiles(final String side) {
        final Optional<Path> certificate = path(side + "_certificate");
        final Optional<Path> key = path(side + "_key");
        final Optional<Path> authority = path(side + "_authority");
        if (certificate.isPresent() != key.isPresent()) {
            mistakes.add(
                    file + " [tls]: " + side + "_certificate and " + side + "_key go together");
            return Optional.empty();
        }
        return certificate.map(c -> new Settings.KeyFiles(c, key.get(), authority));
    }

    private Optional<Path> path(final String name) {
        return value(
                "tls",
                name,
                "",
                "a readable file or nothing",
                t -> {
                    if (t.isEmpty()) {
                        return Optional.<Path>empty();
                    }
                    if (!Files.isReadable(Path.of(t))) {
                        throw new IllegalArgumentException("not a readable file");
                    }
                    return Optional.of(Path.of(t));
                });
    }

    private int port(final String name, final String fallback) {
        return (int) number("listen", name, fallback, 0, MAX_PORT);
    }

    private Duration millis(final String section, final String name, final String fallback) {
        return Duration.ofMillis((long) number(section, name, fallback, 1, 86_400_000));
    }

    private double number(
            final String section,
            final String name,
            final String fallback,
            final double least,
            final double most) {
        final String allowed = "a number from " + plain(least) + " to " + plain(most);
        final Double found =
                value(
                        section,
                        name,
                        fallback,
                        allowed,
                        t -> {
                            final double number = Double.parseDouble(t);
                            if (!(number >= least && number <= most)) {
                                throw new IllegalArgumentException("out of range");
                            }
                            return number;
                        });
        return found == null ? least : found;
    }

    private String oneOf(
            final String section,
            final String name,
            final String fallback,
            final Set<String> allowed) {
        final String found =
                value(
                        section,
                        name,
                        fallback,
                        "one of " + new TreeSet<>(allowed),
                        t -> {
                            if (!allowed.contains(t)) {
                                throw new IllegalArgumentException("not allowed");
                            }
                            return t;
                        });
        return found == null ? fallback : found;
    }

    private <T> T value(
            final String section,
            final String name,
            final String fallback,
            final String allowed,
            final Function<String, T> parse) {
        known.add(section + "." + name);
        final String text = text(section, name, fallback);
        if (text == null) {
            mistakes.add(where(section, name) + ": missing; allowed is " + allowed);
            return null;
        }
        try {
            return parse.apply(text.trim());
        } catch (final IllegalArgumentException e) {
            mistakes.add(where(section, name) + ": found '" + text + "'; allowed is " + allowed);
            return null;
        }
    }

    private String text(final String section, final String name, final String fallback) {
        final SubnodeConfiguration found = ini.getSection(section);
        return found.getString(name, fallback);
    }

    private void checkUnknown() {
        for (final String section : ini.getSections()) {
            ini.getSection(section).getKeys().forEachRemaining(k -> checkUnknown(section, k));
        }
    }

    private void checkUnknown(final String section, final String name) {
        final String full = section + "." + name;
        if (known.contains(full)) {
            return;
        }
        final LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
        final String nearest =
                known.stream()
                        .min(java.util.Comparator.comparingInt(k -> distance.apply(k, full)))
                        .orElse("");
        final String[] parts = nearest.split("\\.", 2);
        mistakes.add(
                where(section, name)
                        + ": unknown; the nearest known is "
                        + where(parts[0], parts[1]).substring(file.length() + 1));
    }

    private String where(final String section, final String name) {
        return file + " [" + section + "] " + name;
    }

    private List<InetSocketAddress> addresses(final String text) {
        return Arrays.stream(text.split("[,\\s]+"))
                .filter(t -> !t.isEmpty())
                .map(this::address)
                .toList();
    }

    private InetSocketAddress address(final String text) {
        final int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("no port");
        }
        final int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port out of range");
        }
        return new InetSocketAddress(ip(text.substring(0, colon)), port);
    }

    private String ip(final String text) {
        if (!io.netty.util.NetUtil.isValidIpV4Address(text)
                && !io.netty.util.NetUtil.isValidIpV6Address(text)) {
            throw new IllegalArgumentException("not an IP address");
        }
        return text;
    }

    private static String plain(final double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
