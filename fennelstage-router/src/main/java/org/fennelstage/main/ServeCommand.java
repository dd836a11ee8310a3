package org.fennelstage.main;

import java.io.IOException;
import java.nio.file.Path;
import java.util.OptionalInt;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.log.LogSetup;
import org.fennelstage.platform.PlatformSettings;
import org.fennelstage.platform.PlatformVm;
import org.fennelstage.platform.SettingsException;
import org.fennelstage.vm.GatewayVm;
import org.fennelstage.vm.VmSettings;
import sun.misc.Signal;

/** {@code fennelstage serve}: one VM on the users' platform, until SIGTERM. Stateless. */
final class ServeCommand {

    private ServeCommand() {}

    static void run(final Path settingsFile, final OptionalInt metricsPort)
            throws IOException, SettingsException {
        final VmSettings settings = PlatformSettings.read(settingsFile, metricsPort);
        LogSetup.applyCollected();
        final GatewayVm vm = PlatformVm.start(settings);
        Signal.handle(new Signal("TERM"), signal -> vm.stop(ServeCommand::exit));
        final Runnable reload = () -> reload(settingsFile, metricsPort, vm);
        Signal.handle(new Signal("HUP"), signal -> reload.run());
        SettingsWatch.start(settingsFile, reload);
    }

    private static void reload(
            final Path settingsFile, final OptionalInt metricsPort, final GatewayVm vm) {
        try {
            vm.apply(PlatformSettings.read(settingsFile, metricsPort));
        } catch (final SettingsException e) {
            EventLog.write(Event.SETTINGS_UNREADABLE, "mistakes", e.getMessage());
        }
    }

    /** Ends the process without shutdown hooks: nothing is left to do, and none may hang. */
    private static void exit() {
        LogSetup.close();
        Runtime.getRuntime().halt(0);
    }
}
