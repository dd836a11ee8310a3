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
import org.slf4j.helpers.Reporter;

/**
 * Configures log format and destination; called before anything is logged.
 *
 * <p>Not thread-safe, except for {@link #dropped()}.
 */
public final class LogSetup {

    private static final DroppingAppender STDOUT_APPENDER = new DroppingAppender();

    private LogSetup() {}

    /**
     * Returns the logging context, which searches the class path for no configuration: the search
     * and what it loads take a tenth of the processor time of a start.
     */
    private static LoggerContext context() {
        if (System.getProperty(LoggerFactory.PROVIDER_PROPERTY_KEY) == null) {
            System.setProperty(
                    LoggerFactory.PROVIDER_PROPERTY_KEY, UnconfiguredLogback.class.getName());
            System.setProperty(Reporter.SLF4J_INTERNAL_VERBOSITY_KEY, "WARN");
        }
        return (LoggerContext) LoggerFactory.getILoggerFactory();
    }

    /**
     * Logs to standard error.
     *
     * @param json whether lines are JSON objects
     * @param level the lowest level to log
     */
    public static void apply(final boolean json, final String level) {
        final LoggerContext context = context();
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
     * Logs JSON lines to standard output for a log collector.
     *
     * <p>Lines pass through a bounded queue and are dropped and counted when it is full, so that a
     * collector that stops reading cannot block the process.
     */
    public static void applyForLogCollector() {
        final LoggerContext context = context();
        context.reset();
        final ConsoleAppender<ILoggingEvent> console = new ContainedConsole();
        console.setContext(context);
        console.setTarget("System.out");
        console.setEncoder(json(context));
        console.start();
        STDOUT_APPENDER.setContext(context);
        STDOUT_APPENDER.addAppender(console);
        STDOUT_APPENDER.start();
        final Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(STDOUT_APPENDER);
        root.setLevel(Level.WARN);
        context.getLogger("fennelstage").setLevel(Level.INFO);
    }

    /** Writes queued lines and stops logging. Must be called last. */
    public static void close() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    /**
     * Returns the number of lines dropped because the queue was full.
     *
     * @return the number of lines
     */
    public static long dropped() {
        return STDOUT_APPENDER.dropped();
    }

    private static Encoder<ILoggingEvent> json(final LoggerContext context) {
        final LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(context);
        // All fields are strings, which need none of the modules; the search for them reads each
        // jar of the class path.
        encoder.setFindAndRegisterJacksonModules(false);
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
