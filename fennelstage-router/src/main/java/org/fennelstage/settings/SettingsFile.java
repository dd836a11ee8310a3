package org.fennelstage.settings;

import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.fennelstage.ini.IniException;
import org.fennelstage.ini.IniFile;

/** Reads {@link Settings} from an INI file. Not thread-safe; each instance reads one file. */
public final class SettingsFile {

    private static final String TLS = "tls";
    private static final String LISTEN = "listen";

    private final IniFile ini;

    private SettingsFile(final IniFile ini) {
        this.ini = ini;
    }

    /**
     * Reads settings from a file.
     *
     * @param path the INI file
     * @return the settings
     * @throws IniException if the file cannot be read or has mistakes; the exception lists all of
     *     them
     */
    public static Settings read(final Path path) throws IniException {
        return new SettingsFile(IniFile.read(path)).settings();
    }

    /**
     * Reads settings from a reader.
     *
     * @param name the name of the text in error messages
     * @param reader the text in INI format
     * @return the settings
     * @throws IniException if the text has mistakes; the exception lists all of them
     */
    public static Settings read(final String name, final Reader reader) throws IniException {
        return new SettingsFile(IniFile.read(name, reader)).settings();
    }

    private Settings settings() throws IniException {
        final Settings settings =
                new Settings(
                        new Settings.Vm(
                                ini.value("vm", "id", null, "a name", VmId::of),
                                ini.value("vm", "data_centre", null, "a name", DataCentreId::of)),
                        listen(),
                        platform(),
                        ini.list("peers", "seeds", "", IniFile.ADDRESS, IniFile::address),
                        limits(),
                        claims(),
                        rating(),
                        new Settings.Tls(keyFiles("callers"), keyFiles("peers")),
                        log(),
                        ini.millis("shutdown", "drain_ms", "30000"));
        ini.finish();
        return settings;
    }

    private Settings.Listen listen() {
        return new Settings.Listen(
                ini.value(LISTEN, "host", "127.0.0.1", "an IP address", IniFile::ip),
                ini.port(LISTEN, "port", "8080"),
                ini.value(LISTEN, "admin_host", "127.0.0.1", "an IP address", IniFile::ip),
                ini.port(LISTEN, "admin_port", "8081"),
                ini.port(LISTEN, "peer_port", "8082"));
    }

    private Settings.Platform platform() {
        return new Settings.Platform(
                ini.value("platform", "objects", null, IniFile.ADDRESS, IniFile::address),
                ini.number("platform", "calls_per_second", "20", 0.1, 1000),
                ini.number("platform", "burst", "40", 1, 10000),
                ini.millis("platform", "timeout_ms", "1000"));
    }

    private Settings.Limits limits() {
        return new Settings.Limits(
                (int) ini.number("limits", "max_header_bytes", "16384", 1024, 1 << 20),
                (int) ini.number("limits", "max_body_bytes", "1048576", 1024, 1 << 26),
                ini.millis("limits", "idle_ms", "30000"));
    }

    private Settings.Claims claims() {
        return new Settings.Claims(
                (int) ini.number("claims", "slots", "16", 1, 4096),
                ini.millis("claims", "wait_ms", "2000"));
    }

    private Settings.Rating rating() {
        return new Settings.Rating(
                ini.value(
                        "rating",
                        "address",
                        "",
                        IniFile.ADDRESS + " or nothing",
                        t -> t.isEmpty() ? Optional.empty() : Optional.of(IniFile.address(t))),
                ini.number("rating", "share", "0.2", 0, 1));
    }

    private Settings.Log log() {
        return new Settings.Log(
                ini.oneOf("log", "format", "text", Set.of("text", "json")).equals("json"),
                ini.oneOf("log", "level", "info", Set.of("debug", "info", "warn", "error")));
    }

    private Optional<Settings.KeyFiles> keyFiles(final String side) {
        final Optional<Path> certificate = path(side + "_certificate");
        final Optional<Path> key = path(side + "_key");
        final Optional<Path> authority = path(side + "_authority");
        if (certificate.isPresent() != key.isPresent()) {
            ini.mistake(TLS, side + "_certificate and " + side + "_key must be set together");
            return Optional.empty();
        }
        return certificate.map(c -> new Settings.KeyFiles(c, key.get(), authority));
    }

    private Optional<Path> path(final String key) {
        final Optional<Path> found =
                ini.value(TLS, key, "", "a readable file or nothing", SettingsFile::readable);
        return found == null ? Optional.empty() : found;
    }

    private static Optional<Path> readable(final String text) {
        if (text.isEmpty()) {
            return Optional.empty();
        }
        if (!Files.isReadable(Path.of(text))) {
            throw new IllegalArgumentException("not a readable file: " + text);
        }
        return Optional.of(Path.of(text));
    }
}
