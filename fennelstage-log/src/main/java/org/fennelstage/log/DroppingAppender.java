package org.fennelstage.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/** An asynchronous appender that drops and counts lines when its queue is full. Thread-safe. */
final class DroppingAppender extends AsyncAppender {

    private static final int MAX_QUEUED_LINES = 2_048;

    /** The longest time to write queued lines when the appender stops. */
    private static final int MAX_FLUSH_MILLIS = 200;

    private final AtomicLong dropped = new AtomicLong();

    DroppingAppender() {
        setQueueSize(MAX_QUEUED_LINES);
        setDiscardingThreshold(0);
        setNeverBlock(true);
        setMaxFlushTime(MAX_FLUSH_MILLIS);
    }

    @Override
    protected void append(final ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            dropped.incrementAndGet();
            return;
        }
        super.append(event);
    }

    long dropped() {
        return dropped.get();
    }
}
