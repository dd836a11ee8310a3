package org.fennelstage.main;

import java.io.IOException;
import java.nio.file.Path;
import java.util.OptionalInt;
import org.fennelstage.platform.PlatformSettings;
import org.fennelstage.platform.PlatformVm;
import org.fennelstage.policy.Policy;
import org.fennelstage.vm.SettingsException;
import org.fennelstage.vm.VmProcess;

/**
 * Runs {@code fennelstage serve}: one VM on the platform, until SIGTERM. Stateless and thread-safe.
 */
final class ServeCommand {

    private ServeCommand() {}

    static void run(final Path settingsFile, final OptionalInt metricsPort, final Policy policy)
            throws IOException, SettingsException {
        VmProcess.run(
                settingsFile,
                file -> PlatformSettings.read(file, metricsPort).withPolicy(policy),
                PlatformVm::start);
    }
}
