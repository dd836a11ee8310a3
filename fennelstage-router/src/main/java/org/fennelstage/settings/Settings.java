package org.fennelstage.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;

/**
 * All settings of one entry VM.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm who and where it is
 * @param listen its addresses
 * @param platform how it reaches the platform
 * @param seeds peer addresses to begin with
 * @param limits bounds on callers
 * @param claims how claims are made
 * @param rating how answers are rated
 * @param tls keys and certificates
 * @param log the form of the log
 * @param drain the longest time a graceful stop waits for requests in flight
 */
public record Settings(
        Vm vm,
        Listen listen,
        Platform platform,
        List<InetSocketAddress> seeds,
        Limits limits,
        Claims claims,
        Rating rating,
        Tls tls,
        Log log,
        Duration drain) {

    public Settings {
        Objects.requireNonNull(vm, "vm is null");
        seeds = List.copyOf(seeds);
    }

    /**
     * Who and where the VM is.
     *
     * @param id the VM
     * @param dataCentre its data centre
     */
    public record Vm(VmId id, DataCentreId dataCentre) {}

    /**
     * Where the VM listens; port 0 takes any free one.
     *
     * @param host the IP address for callers and peers
     * @param port the port for callers
     * @param adminHost the IP address for operators
     * @param adminPort the port for operators
     * @param peerPort the port for other VMs
     */
    public record Listen(String host, int port, String adminHost, int adminPort, int peerPort) {}

    /**
     * How the VM reaches the platform.
     *
     * @param objects the object API
     * @param callsPerSecond the most calls in the long run
     * @param burst the most calls at once
     * @param timeout the longest wait for an answer
     */
    public record Platform(
            InetSocketAddress objects, double callsPerSecond, double burst, Duration timeout) {}

    /**
     * Bounds on what a caller may take.
     *
     * @param maxHeaderBytes the largest header block
     * @param maxBodyBytes the largest body
     * @param idle how long a connection may stay silent
     */
    public record Limits(int maxHeaderBytes, int maxBodyBytes, Duration idle) {}

    /**
     * How claims are made.
     *
     * @param slots the number of claim logs; the same on all VMs, for ever
     * @param patience the longest wait for a claim before the request is refused
     */
    public record Claims(int slots, Duration patience) {}

    /**
     * How answers are rated.
     *
     * @param address the rating service, empty if there is none
     * @param share the share of answers sent to it, in [0, 1]
     */
    public record Rating(Optional<InetSocketAddress> address, double share) {}

    /**
     * Keys and certificates, as PEM files.
     *
     * @param callers for callers, empty for plain HTTP
     * @param peers for other VMs, empty for plain TCP
     */
    public record Tls(Optional<KeyFiles> callers, Optional<KeyFiles> peers) {}

    /**
     * A certificate with its key and the authority that peers must have.
     *
     * @param certificate the certificate chain
     * @param key the private key in PKCS 8
     * @param authority the certificate of the authority, empty if the other side needs none
     */
    public record KeyFiles(Path certificate, Path key, Optional<Path> authority) {}

    /**
     * The form of the log.
     *
     * @param json whether lines are JSON objects
     * @param level the least level that is written
     */
    public record Log(boolean json, String level) {}
}
