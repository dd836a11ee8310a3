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
 * All settings of one VM.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm the identity and the data centre of the VM
 * @param listen the addresses on which the VM listens
 * @param platform the connection to the object API of the platform
 * @param seeds the peer addresses that the VM contacts at its start
 * @param limits the limits on requests and connections of callers
 * @param claims the settings of claims
 * @param rating the settings of the rating of answers
 * @param tls the keys and certificates
 * @param log the format and the level of the log
 * @param drain the longest time that a graceful stop waits for requests in flight
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
     * Identity and data centre of the VM.
     *
     * @param id the name of the VM
     * @param dataCentre its data centre
     */
    public record Vm(VmId id, DataCentreId dataCentre) {}

    /**
     * Addresses on which the VM listens; port 0 selects any free port.
     *
     * @param host the IP address for callers and peers
     * @param port the port for callers
     * @param adminHost the IP address for operators
     * @param adminPort the port for operators
     * @param peerPort the port for other VMs
     */
    public record Listen(String host, int port, String adminHost, int adminPort, int peerPort) {}

    /**
     * Connection to the object API of the platform.
     *
     * @param objects the address of the object API
     * @param callsPerSecond the sustained rate limit, in calls per second
     * @param burst the number of calls that may exceed the sustained rate at once
     * @param timeout the longest wait for the response to a call
     */
    public record Platform(
            InetSocketAddress objects, double callsPerSecond, double burst, Duration timeout) {}

    /**
     * Limits on requests and connections of callers.
     *
     * @param maxHeaderBytes the largest header block, in bytes
     * @param maxBodyBytes the largest request body, in bytes
     * @param idle the time after which an inactive connection is closed
     */
    public record Limits(int maxHeaderBytes, int maxBodyBytes, Duration idle) {}

    /**
     * Settings of claims.
     *
     * @param slots the number of claim logs; must be the same on all VMs and must never change
     * @param timeout the longest wait for a claim before the request is rejected
     */
    public record Claims(int slots, Duration timeout) {}

    /**
     * Settings of the rating of answers.
     *
     * @param address the address of the rating service, empty if there is none
     * @param share the share of answers sent to it, in [0, 1]
     */
    public record Rating(Optional<InetSocketAddress> address, double share) {}

    /**
     * Keys and certificates in PEM files.
     *
     * @param callers the files for connections of callers, empty for plain HTTP
     * @param peers the files for connections between VMs, empty for plain TCP
     */
    public record Tls(Optional<KeyFiles> callers, Optional<KeyFiles> peers) {}

    /**
     * A certificate, its private key and the authority that must have signed the certificate of the
     * other side.
     *
     * @param certificate the certificate chain
     * @param key the private key, in PKCS #8
     * @param authority the certificate of the authority, empty if the other side needs no
     *     certificate
     */
    public record KeyFiles(Path certificate, Path key, Optional<Path> authority) {}

    /**
     * Format and level of the log.
     *
     * @param json true if each line is a JSON object
     * @param level the lowest level that is written
     */
    public record Log(boolean json, String level) {}
}
