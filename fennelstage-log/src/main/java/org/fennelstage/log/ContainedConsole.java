package org.fennelstage.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;

/**
 * Writes lines to the console; one that cannot be written, not even for an error such as a lack of
 * memory, is left out.
 *
 * <p>An error would end the thread that writes the log, and with it the log. Thread-safe.
 */
final class ContainedConsole extends ConsoleAppender<ILoggingEvent> {

    @Override
    public void doAppend(final ILoggingEvent line) {
        try {
            super.doAppend(line);
        } catch (final Error e) {
            addError("line not written: " + e);
        }
    }
}
