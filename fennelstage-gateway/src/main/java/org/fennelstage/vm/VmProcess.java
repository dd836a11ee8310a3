package org.fennelstage.vm;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.log.LogSetup;
import sun.misc.Signal;

/**
 * The process of one VM: reads its settings, handles signals and exits.
 *
 * <p>SIGTERM stops gracefully; SIGHUP and a change of the settings file apply new bounds.
 * Invariant: a signal that arrives while the VM starts is applied once it runs. Thread-safe.
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

    private static final int STOPPED = 0;

    /** Exit code of a process that cannot go on. */
    private static final int FAILED = 70;

    private final Path file;
    private final SettingsReader reader;
    private Optional<GatewayVm> vm = Optional.empty();
    private OptionalLong stopSignalNanos = OptionalLong.empty();
    private boolean reloadDue;

    private VmProcess(final Path file, final SettingsReader reader) {
        this.file = Objects.requireNonNull(file, "file is null");
        this.reader = Objects.requireNonNull(reader, "reader is null");
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
        LogSetup.applyForLogCollector();
        final VmProcess process = new VmProcess(file, reader);
        // A VM accepts callers before its start has returned. Without a handler, the signals end
        // the process.
        Signal.handle(new Signal("TERM"), signal -> process.stop(System.nanoTime()));
        Signal.handle(new Signal("HUP"), signal -> process.reload());
        final GatewayVm vm = starter.start(reader.read(file));
        vm.whenEventLoopEnds(VmProcess::onEventLoopEnded);
        process.onStarted(vm);
        SettingsWatch.start(file, process::reload);
    }

    /** Applies the signals that arrived during the start. */
    private void onStarted(final GatewayVm started) {
        final boolean reloads;
        final OptionalLong stops;
        synchronized (this) {
            vm = Optional.of(started);
            reloads = reloadDue;
            stops = stopSignalNanos;
        }
        if (reloads) {
            reload(started);
        }
        if (stops.isPresent()) {
            stop(started, stops.getAsLong());
        }
    }

    private void stop(final long signalNanos) {
        final Optional<GatewayVm> running;
        synchronized (this) {
            stopSignalNanos = OptionalLong.of(signalNanos);
            running = vm;
        }
        running.ifPresentOrElse(vm -> stop(vm, signalNanos), () -> logDeferred("TERM"));
    }

    /** The grace period counts from the arrival of the signal, which may precede the start. */
    private static void stop(final GatewayVm running, final long signalNanos) {
        running.stop(() -> Duration.ofNanos(System.nanoTime() - signalNanos), () -> exit(STOPPED));
    }

    /** Without its event loop, the process would listen and serve nothing. */
    private static void onEventLoopEnded() {
        EventLog.write(Event.PROCESS_FAILED, "reason", "event loop ended", "exit", FAILED);
        exit(FAILED);
    }

    private void reload() {
        final Optional<GatewayVm> running;
        synchronized (this) {
            reloadDue = true;
            running = vm;
        }
        running.ifPresentOrElse(this::reload, () -> logDeferred("HUP"));
    }

    private static void logDeferred(final String signal) {
        EventLog.write(Event.SIGNAL_DEFERRED, "signal", signal);
    }

    private void reload(final GatewayVm running) {
        try {
            running.apply(reader.read(file));
        } catch (final SettingsException e) {
            EventLog.write(Event.SETTINGS_UNREADABLE, "mistakes", e.getMessage());
        } catch (final RuntimeException e) {
            EventLog.write(Event.SETTINGS_UNREADABLE, "mistakes", e);
        }
    }

    /** Exits without shutdown hooks, so that none can block the exit. */
    private static void exit(final int code) {
        LogSetup.close();
        Runtime.getRuntime().halt(code);
    }
}
