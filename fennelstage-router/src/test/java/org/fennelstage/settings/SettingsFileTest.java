package org.fennelstage.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.StringReader;
import java.time.Duration;
import org.fennelstage.ini.IniException;
import org.junit.jupiter.api.Test;

/** Defaults of settings and the list of all mistakes. */
class SettingsFileTest {

    private static final String MINIMAL =
            "[vm]\nid = vm-1\ndata_centre = lx-a\n[platform]\nobjects = 127.0.0.1:7000\n";

    @Test
    void readFillsInDefaults() throws IniException {
        final Settings settings = SettingsFile.read("a.ini", new StringReader(MINIMAL));
        assertThat(settings.listen().port()).isEqualTo(8080);
        assertThat(settings.drain()).isEqualTo(Duration.ofSeconds(30));
        assertThat(settings.seeds()).isEmpty();
    }

    @Test
    void readListsEveryMistakeWithFileSectionKeyAndAllowedValues() {
        final IniException e =
                catchThrowableOfType(
                        IniException.class,
                        () ->
                                SettingsFile.read(
                                        "a.ini",
                                        new StringReader(
                                                "[vm]\nid = vm 1\n[listen]\nport = 99999\n"
                                                        + "prot = 1\n[platfrom]\nx = 1\n")));
        assertThat(e.mistakes())
                .anyMatch(m -> m.contains("a.ini [vm] id: found 'vm 1'; allowed is a name"))
                .anyMatch(m -> m.contains("[vm] data_centre: missing"))
                .anyMatch(
                        m -> m.contains("[listen] port: found '99999'; allowed is a number from 0"))
                .anyMatch(m -> m.contains("prot: unknown key; the nearest known is 'port'"))
                .anyMatch(
                        m ->
                                m.contains(
                                        "[platfrom]: unknown section; the nearest known is [platform]"))
                .anyMatch(m -> m.contains("[platform] objects: missing"));
    }

    @Test
    void readRejectsAHostName() {
        final IniException e =
                catchThrowableOfType(
                        IniException.class,
                        () ->
                                SettingsFile.read(
                                        "a.ini",
                                        new StringReader(
                                                MINIMAL.replace("127.0.0.1", "objects.example"))));
        assertThat(e.mistakes()).singleElement().asString().contains("allowed is IP:PORT");
    }

    @Test
    void readRejectsACertificateWithoutItsKey() {
        final IniException e =
                catchThrowableOfType(
                        IniException.class,
                        () ->
                                SettingsFile.read(
                                        "a.ini",
                                        new StringReader(
                                                MINIMAL
                                                        + "[tls]\npeers_certificate = /dev/null\n")));
        assertThat(e.mistakes()).singleElement().asString().contains("must be set together");
    }
}
