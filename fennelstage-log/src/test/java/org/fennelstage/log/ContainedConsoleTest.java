package org.fennelstage.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ContainedConsoleTest {

    /** Guards against a log that ends for good with one line that could not be written. */
    @Test
    void linesAreWrittenAfterOneThatFailed() throws InterruptedException {
        final LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        final FailingOnce encoder = new FailingOnce();
        final ContainedConsole console = new ContainedConsole();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        final DroppingAppender queue = new DroppingAppender();
        queue.setContext(context);
        queue.addAppender(console);
        queue.start();
        queue.doAppend(line(context));
        queue.doAppend(line(context));
        assertThat(encoder.written.poll(10, TimeUnit.SECONDS)).isNotNull();
        queue.stop();
    }

    private static ILoggingEvent line(final LoggerContext context) {
        return new LoggingEvent("", context.getLogger("test"), Level.INFO, "line", null, null);
    }

    private static final class FailingOnce extends EncoderBase<ILoggingEvent> {

        private final BlockingQueue<ILoggingEvent> written = new LinkedBlockingQueue<>();
        private boolean failed;

        @Override
        public byte[] headerBytes() {
            return new byte[0];
        }

        @Override
        public byte[] encode(final ILoggingEvent line) {
            if (!failed) {
                failed = true;
                throw new OutOfMemoryError("Java heap space");
            }
            written.add(line);
            return "\n".getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        public byte[] footerBytes() {
            return new byte[0];
        }
    }
}
