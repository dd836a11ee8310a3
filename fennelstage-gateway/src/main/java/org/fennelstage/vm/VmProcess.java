package org.fennelstage.vm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Objects;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.log.LogSetup;
import sun.misc.Signal;

/**
 * The process of one VM: reads its settings, handles signals and exits.
 *
 * <p>SIGTERM stops gracefully; SIGHUP and a change of the settings file apply new bounds.
 * Thread-safe.
 */
public final class VmProcess {

    /** Reads the settings file. */
    @FunctionalInterface
    public interface SettingsReader {

        /**
         * Reads the file.
         *
         * @param file the file
         * @return the settings
         * @throws SettingsException if the file cannot be used
         */
        VmSettings read(Path file) throws SettingsException;
    }

    /** Starts a VM. */
    @FunctionalInterface
    public interface Starter {

        /**
         * Starts a VM.
         *
         * @param settings the settings of the VM
         * @return the running VM
         * @throws IOException if an address cannot be bound
         */
        GatewayVm start(VmSettings settings) throws IOException;
    }

    private final Path file;
    private final SettingsReader reader;
    private final GatewayVm vm;

    private VmProcess(final Path file, final SettingsReader reader, final GatewayVm vm) {
        this.file = file;
        this.reader = reader;
        this.vm = vm;
    }

    /**
     * Starts a VM and returns; the process runs until SIGTERM.
     *
     * @param file the settings file
     * @param reader reads it
     * @param starter starts the VM
     * @throws IOException if an address cannot be bound
     * @throws SettingsException if the file cannot be used
     */
    public static void run(final Path file, final SettingsReader reader, final Starter starter)
            throws IOException, SettingsException {
        Objects.requireNonNull(file, "file is null");
        final VmSettings settings = reader.read(file);
        LogSetup.applyForLogCollector();
        final VmProcess process = new VmProcess(file, reader, starter.start(settings));
        Signal.handle(new Signal("TERM"), signal -> process.vm.stop(VmProcess::exit));
        Signal.handle(new Signal("HUP"), signal -> process.reload());
        SettingsWatch.start(file, process::reload);
    }

    private void reload() {
        try {
            vm.apply(reader.read(file));
        } catch (final SettingsException e) {
            EventLog.write(Event.SETTINGS_UNREADABLE, "mistakes", e.getMessage());
        }
    }

    /** Exits without shutdown hooks, so that none can block the exit. */
    private static void exit() {
        LogSetup.close();
        Runtime.getRuntime().halt(0);
    }
}
