package org.fennelstage.log;

import java.lang.System.Logger.Level;

/**
 * The numbered log events. Immutable and thread-safe.
 *
 * <p>Invariant: the number of a removed event is not reused.
 */
public enum Event {
    STARTED(1001, Level.INFO, "VM started"),
    READY(1002, Level.INFO, "VM is ready for callers"),
    DRAINING(1003, Level.INFO, "VM is draining; requests in flight continue"),
    STOPPED(1004, Level.INFO, "VM stopped"),
    DRAIN_TIMED_OUT(1005, Level.WARNING, "VM stopped with requests still in flight"),
    SETTINGS_RELOADED(1008, Level.INFO, "settings reloaded"),
    SETTINGS_UNREADABLE(
            1009, Level.ERROR, "cannot read settings; the previous settings stay in use"),
    INTERNAL_ERROR(1010, Level.ERROR, "unexpected error; task aborted"),
    PAUSED(1011, Level.WARNING, "process did not run for a while"),
    LOG_LINES_DROPPED(1012, Level.WARNING, "log lines were dropped; the reader of the log is slow"),
    PROCESS_FAILED(1013, Level.ERROR, "process cannot go on; it ends"),
    SIGNAL_DEFERRED(1014, Level.INFO, "signal arrived while the VM starts; applied once it runs"),
    LAST_RESPONSES(1015, Level.INFO, "VM exits soon; open requests got their last responses"),
    TLS_RELOADED(1006, Level.INFO, "TLS keys reloaded"),
    TLS_UNREADABLE(1007, Level.ERROR, "cannot read TLS keys; the previous keys stay in use"),

    CONFIGURATION_CHANGED(2001, Level.INFO, "configuration took effect"),
    CONFIGURATION_MALFORMED(2002, Level.ERROR, "malformed configuration object"),
    OBJECT_API_UNAVAILABLE(2003, Level.WARNING, "object API is unavailable"),
    OBJECT_API_AVAILABLE(2004, Level.INFO, "object API is available again"),

    STORE_CALL_FAILED(
            2011,
            Level.WARNING,
            "call to the store failed; the store or the path to it may be down"),
    STORE_RECOVERED(2012, Level.INFO, "store is available again"),
    HISTORY_GONE(2013, Level.INFO, "store dropped its history; listing again"),
    STALE_RESPONSE(2014, Level.WARNING, "store returned an older state; listing again"),
    SERVER_ENTRY_CHANGED(2015, Level.INFO, "backend server entry changed"),
    SERVER_ENTRY_REMOVED(2016, Level.INFO, "backend server entry removed"),
    SERVER_ENTRY_EXPIRED(
            2017, Level.WARNING, "backend server did not register again; entry removed"),
    DIRECT_STORE_ACCESS_LOST(
            2019, Level.WARNING, "store does not respond to this VM; calls go through other VMs"),
    DIRECT_STORE_ACCESS_RESTORED(2020, Level.INFO, "store responds to this VM directly again"),
    RELAY_FAILED(2021, Level.WARNING, "VM that calls the store for its data centre failed"),
    OBJECT_MALFORMED(2022, Level.WARNING, "malformed object in the store; not used"),
    OBJECT_VALID(2023, Level.INFO, "object in the store is valid again"),
    SERVER_RESTARTED(2024, Level.WARNING, "backend server restarted under the same id"),
    STORE_UNAVAILABLE(2025, Level.WARNING, "store is unavailable, directly and through other VMs"),
    STORE_RESTORED(
            2026, Level.WARNING, "store was restored from an older copy; listing everything again"),
    VM_ENTRY_WRITTEN(2027, Level.INFO, "entry of this VM written to the store"),
    SERVER_DRAINING(2028, Level.INFO, "backend server is draining"),
    EVACUATION_STARTED(
            2029, Level.INFO, "data centre evacuated; its backend servers get no new requests"),
    EVACUATION_ENDED(
            2030,
            Level.INFO,
            "data centre no longer evacuated; its backend servers may need to warm up"),
    SERVER_DEPARTED(
            2031,
            Level.INFO,
            "another VM reported that the store shows a backend server as draining or removed"),
    REPORTED_CHANGE_MISSING(
            2032,
            Level.INFO,
            "another VM reported a change that this VM has not received; reading the store again"),
    COPY_USED(
            2033,
            Level.INFO,
            "store is unavailable at the start of this VM; state taken from another VM"),
    COPY_GIVEN(2034, Level.INFO, "copy of the state given or refused to a VM that starts"),
    WRITE_FAILED(2018, Level.WARNING, "write to the store may not have taken effect"),

    PEER_STATE_CHANGED(3001, Level.INFO, "state of another VM changed"),
    MESSAGE_DROPPED(
            3002, Level.WARNING, "message to other VMs does not fit into a datagram; dropped"),

    REQUEST_ENDED(4001, Level.DEBUG, "request ended"),
    REQUEST_RETRIED(4002, Level.INFO, "request retried on another backend server"),
    REQUEST_OUTCOME_UNKNOWN(4003, Level.WARNING, "request ended with unknown outcome"),
    SERVER_EXCLUDED(4004, Level.WARNING, "backend server excluded after failures"),
    SERVER_RECOVERED(4005, Level.INFO, "backend server is used again"),

    REQUEST_REJECTED(4011, Level.INFO, "request rejected before any attempt"),
    REQUEST_SENT(4012, Level.INFO, "request sent to a backend server"),
    ATTEMPT_FAILED(4013, Level.INFO, "attempt ended without a complete response"),
    ANSWER_DROPPED(4015, Level.INFO, "answer discarded; request goes to a larger model"),
    SERVER_REPORTED_UNREACHABLE(
            4016, Level.INFO, "another VM reported that it could not reach a backend server"),
    REQUEST_ERROR(4037, Level.ERROR, "unexpected error; request ended"),
    SERVER_REJECTING(4021, Level.INFO, "backend server rejects requests from this VM for a time"),
    SERVER_LIMITED(4022, Level.INFO, "backend server limits the requests per second of all VMs"),
    SERVER_LIMIT_ENDED(4023, Level.INFO, "backend server no longer limits the requests per second"),
    PERMIT_REQUESTED(4024, Level.INFO, "permit requested for a saturated backend server"),
    PERMIT_ISSUER_SKIPPED(
            4025, Level.WARNING, "VM that issues permits for a backend server does not reply"),
    RECOVERY_PROBED(4026, Level.INFO, "unreachable backend server probed"),
    REQUEST_FORWARDED(
            4027,
            Level.INFO,
            "request forwarded to another VM, since no backend server is reachable"),
    SERVICE_BRITTLE(
            4028, Level.INFO, "backend servers of a service changed whether they are brittle"),
    OVERLOAD_CHANGED(
            4030,
            Level.INFO,
            "event loop began or ceased to be overloaded; meanwhile new connections get 503"),
    SERVER_OUTLIER_CHANGED(
            4032,
            Level.INFO,
            "backend server began or ceased to fail more often than others of its service"),
    ATTEMPT_KEPT(4036, Level.INFO, "request stays at a silent backend server"),
    ADMISSION_LIMITED(
            4035,
            Level.INFO,
            "requests of a priority and team at a saturated backend server began or ceased to be"
                    + " limited to their share"),
    SERVER_SPEED_CHANGED(
            4033, Level.INFO, "backend server became slower or faster than usual for its service"),
    SERVER_PROBED(4017, Level.INFO, "backend server probed after a connection broke"),
    REQUEST_SUSPECTED(
            4018,
            Level.WARNING,
            "backend servers crashed one after another while running a request"),
    REQUEST_QUARANTINED(
            4019, Level.WARNING, "content or prompt part crashes backend servers; quarantined"),
    QUARANTINE_ENDED(4020, Level.INFO, "content or prompt part no longer quarantined"),
    QUARANTINE_TRIAL(
            4029, Level.INFO, "request with a quarantined prompt part let through as a trial"),
    REQUEST_FINISHED(4014, Level.INFO, "request finished"),

    CLAIM_UNAVAILABLE(5001, Level.WARNING, "claim could not be made; request rejected"),
    CLAIM_RELEASE_FAILED(5002, Level.WARNING, "claim could not be released; its key stays claimed"),
    CLAIM_LOG_LOADED(5003, Level.DEBUG, "claims of a slot loaded"),

    BILL_NOT_REPLICATED(6001, Level.WARNING, "no other VM has a copy of this bill"),
    BILLS_WAITING(6002, Level.WARNING, "bills are waiting for the object API"),
    BILLS_WRITTEN(6003, Level.DEBUG, "bills written to the object API"),

    ROLLOUT_HALTED(7001, Level.WARNING, "new version was found bad and gets no new requests"),
    ROLLOUT_STEP(7002, Level.INFO, "rollout reached its next step"),
    ROLLOUT_DONE(7003, Level.INFO, "rollout completed"),
    ROLLOUT_STATE_CHANGED(7011, Level.INFO, "state of a rollout in the store changed"),
    ROLLOUT_STATE_WRITTEN(7012, Level.INFO, "state of a rollout written to the store"),
    ROLLOUT_AGE_CORRECTED(7013, Level.INFO, "age of a rollout order corrected by another VM"),
    NEW_VERSION_RESPONSE_BAD(7014, Level.INFO, "response of a new version failed or is slow"),
    ROLLOUT_HELD(7015, Level.WARNING, "new version is in doubt and keeps its small share");

    private final int number;
    private final Level level;
    private final String text;

    Event(final int number, final Level level, final String text) {
        this.number = number;
        this.level = level;
        this.text = text;
    }

    public int number() {
        return number;
    }

    public Level level() {
        return level;
    }

    public String text() {
        return text;
    }

    /**
     * Returns the event's code in the log.
     *
     * @return {@code FS} and the number
     */
    public String code() {
        return "FS" + number;
    }
}
