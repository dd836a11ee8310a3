package org.fennelstage.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/** Sets up the log's form before anything is logged. Stateless. */
public final class LogSetup {

    private static final BoundedQueue QUEUE = new BoundedQueue();

    private LogSetup() {}

    /**
     * Sets the form for this process.
     *
     * @param json whether lines are JSON objects
     * @param level the least level that is written
     */
    public static void apply(final boolean json, final String level) {
        final LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        final ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(json ? json(context) : text(context));
        appender.start();
        final Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.WARN);
        context.getLogger("fennelstage").setLevel(Level.toLevel(level));
    }

    /**
     * Sets the form for a process whose log is collected: JSON lines on standard output.
     *
     * <p>A reader of the output that stops reading would stop the process with it. So lines wait in
     * a queue of bounded length, and are dropped and counted when it is full.
     */
    public static void applyCollected() {
        final LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        final ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.out");
        console.setEncoder(json(context));
        console.start();
        QUEUE.setContext(context);
        QUEUE.addAppender(console);
        QUEUE.start();
        final Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(QUEUE);
        root.setLevel(Level.WARN);
        context.getLogger("fennelstage").setLevel(Level.INFO);
    }

    /** Writes what is queued and ends the log. To be called last. */
    public static void close() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    /**
     * Returns how many lines were dropped because the queue was full.
     *
     * @return the count
     */
    public static long dropped() {
        return QUEUE.dropped();
    }

    private static Encoder<ILoggingEvent> json(final LoggerContext context) {
        final LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> text(final LoggerContext context) {
        final PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%ex{short}");
        encoder.start();
        return encoder;
    }
}
