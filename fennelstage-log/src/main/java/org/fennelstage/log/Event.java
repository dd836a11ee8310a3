package org.fennelstage.log;

import java.lang.System.Logger.Level;

/** Every event the router logs. Numbers are never used again. Immutable and thread-safe. */
public enum Event {
    STARTED(1001, Level.INFO, "VM started"),
    READY(1002, Level.INFO, "VM is ready for callers"),
    DRAINING(1003, Level.INFO, "VM stops; requests in flight go on"),
    STOPPED(1004, Level.INFO, "VM stopped"),
    DRAIN_TIMED_OUT(1005, Level.WARNING, "VM stopped with requests still in flight"),
    SETTINGS_RELOADED(1008, Level.INFO, "settings were read again"),
    SETTINGS_UNREADABLE(1009, Level.ERROR, "settings cannot be read; the old ones stay in use"),
    INTERNAL_ERROR(1010, Level.ERROR, "unexpected error; the task was given up"),
    TLS_RELOADED(1006, Level.INFO, "TLS keys were read again"),
    TLS_UNREADABLE(1007, Level.ERROR, "TLS keys cannot be read; the old ones stay in use"),

    CONFIGURATION_CHANGED(2001, Level.INFO, "configuration is in force"),
    CONFIGURATION_MALFORMED(2002, Level.ERROR, "configuration object cannot be understood"),
    OBJECT_API_UNAVAILABLE(2003, Level.WARNING, "object API cannot be reached"),
    OBJECT_API_AVAILABLE(2004, Level.INFO, "object API answers again"),

    STORE_CALL_FAILED(
            2011, Level.WARNING, "call to the store failed; it may be away, or the way to it"),
    STORE_RECOVERED(2012, Level.INFO, "store answers again"),
    HISTORY_GONE(2013, Level.INFO, "store dropped the history; listing anew"),
    STALE_RESPONSE(2014, Level.WARNING, "store answered with an older state; listing anew"),
    SERVER_ENTRY_CHANGED(2015, Level.INFO, "entry of a backend server changed"),
    SERVER_ENTRY_REMOVED(2016, Level.INFO, "entry of a backend server is gone"),
    SERVER_ENTRY_EXPIRED(2017, Level.WARNING, "backend server did not register again; dropped"),
    DIRECT_STORE_ACCESS_LOST(
            2019, Level.WARNING, "store does not answer this VM; others are asked"),
    DIRECT_STORE_ACCESS_RESTORED(2020, Level.INFO, "store answers this VM itself again"),
    RELAY_FAILED(2021, Level.WARNING, "VM that asks the store for its data centre failed"),
    OBJECT_MALFORMED(2022, Level.WARNING, "object of the store cannot be understood; not used"),
    OBJECT_VALID(2023, Level.INFO, "object of the store can be understood again"),
    SERVER_RESTARTED(2024, Level.WARNING, "backend server started again under its id"),
    STORE_UNAVAILABLE(2025, Level.WARNING, "store cannot be reached by any way"),
    STORE_RESTORED(2026, Level.WARNING, "store came back from an older copy; all is listed anew"),
    VM_ENTRY_WRITTEN(2027, Level.INFO, "own entry is written to the store"),
    SERVER_DRAINING(2028, Level.INFO, "backend server says in its answers that it leaves"),
    EVACUATION_STARTED(2029, Level.INFO, "data centre is evacuated; its servers get nothing new"),
    EVACUATION_ENDED(2030, Level.INFO, "data centre is taken back; its servers may be cold"),
    WRITE_FAILED(2018, Level.WARNING, "write to the store did not take effect for sure"),

    PEER_STATE_CHANGED(3001, Level.INFO, "another VM changed state"),

    REQUEST_ENDED(4001, Level.DEBUG, "request ended"),
    REQUEST_RETRIED(4002, Level.INFO, "request is tried on another backend server"),
    REQUEST_OUTCOME_UNKNOWN(4003, Level.WARNING, "request ended with its outcome unknown"),
    SERVER_EXCLUDED(4004, Level.WARNING, "backend server is left out after failures"),
    SERVER_RECOVERED(4005, Level.INFO, "backend server is used again"),

    REQUEST_REJECTED(4011, Level.INFO, "request is refused before any attempt"),
    REQUEST_SENT(4012, Level.INFO, "request is sent to a backend server"),
    ATTEMPT_FAILED(4013, Level.INFO, "attempt ended without a whole answer"),
    ANSWER_DROPPED(4015, Level.INFO, "answer is dropped; a larger model is asked"),
    SERVER_REPORTED_UNREACHABLE(
            4016, Level.INFO, "backend server could not be reached by another VM"),
    SERVER_REJECTING(4021, Level.INFO, "backend server wants no request from this VM for a time"),
    SERVER_PROBED(4017, Level.INFO, "backend server was looked at after a connection broke"),
    REQUEST_SUSPECTED(
            4018, Level.WARNING, "backend servers ended one after the other under a request"),
    REQUEST_QUARANTINED(4019, Level.WARNING, "request ends its backend servers and is refused now"),
    QUARANTINE_ENDED(4020, Level.INFO, "request is refused no longer"),
    REQUEST_FINISHED(4014, Level.INFO, "request reached its end"),

    CLAIM_UNAVAILABLE(5001, Level.WARNING, "claim could not be made; request refused"),
    CLAIM_RELEASE_FAILED(5002, Level.WARNING, "claim could not be given back; its key stays taken"),
    CLAIM_LOG_LOADED(5003, Level.DEBUG, "claims of a slot were loaded"),

    BILL_NOT_REPLICATED(6001, Level.WARNING, "no other VM holds this bill"),
    BILLS_WAITING(6002, Level.WARNING, "bills wait for the object API"),
    BILLS_WRITTEN(6003, Level.DEBUG, "bills are in the object API"),

    ROLLOUT_HALTED(7001, Level.WARNING, "candidate version was found bad and gets no new work"),
    ROLLOUT_STEP(7002, Level.INFO, "roll-out reached its next step"),
    ROLLOUT_DONE(7003, Level.INFO, "roll-out is complete"),
    ROLLOUT_STATE_CHANGED(7011, Level.INFO, "state of a roll-out in the store changed"),
    ROLLOUT_STATE_WRITTEN(7012, Level.INFO, "state of a roll-out is written to the store"),
    ROLLOUT_AGE_CORRECTED(
            7013, Level.INFO, "time since the order of a roll-out is corrected by another VM");

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
     * Returns the code found in the log.
     *
     * @return {@code FS} and the number
     */
    public String code() {
        return "FS" + number;
    }
}
