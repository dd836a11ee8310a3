package org.fennelstage.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Provides Logback to SLF4J without a search for a configuration, since {@link LogSetup} makes the
 * configuration. Public and with a public constructor, since SLF4J creates it by its name.
 * Thread-safe.
 */
public final class UnconfiguredLogback implements SLF4JServiceProvider {

    private static final String API_VERSION = "2.0.99";

    private final LoggerContext context = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter mdc = new LogbackMDCAdapter();

    /** Creates a provider with a context that has no appender. */
    public UnconfiguredLogback() {}

    @Override
    public void initialize() {
        context.setName("default");
        context.setMDCAdapter(mdc);
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return context;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return mdc;
    }

    @Override
    public String getRequestedApiVersion() {
        return API_VERSION;
    }
}
