package org.fennelstage.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/** A queue before an appender that drops and counts lines when it is full. Thread-safe. */
final class BoundedQueue extends AsyncAppender {

    /** Lines held: a second of a busy VM at a few hundred requests; about 1 MB. */
    private static final int LINES = 2_048;

    /** Longest wait for the queue to empty at the end; milliseconds. */
    private static final int FLUSH_MILLIS = 200;

    private final AtomicLong dropped = new AtomicLong();

    BoundedQueue() {
        setQueueSize(LINES);
        setDiscardingThreshold(0);
        setNeverBlock(true);
        setMaxFlushTime(FLUSH_MILLIS);
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
