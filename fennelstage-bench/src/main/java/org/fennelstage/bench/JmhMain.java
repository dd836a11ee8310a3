package org.fennelstage.bench;

import java.io.IOException;

/** Runs the benchmarks of decisions. */
public final class JmhMain {

    private JmhMain() {}

    /**
     * Runs them.
     *
     * @param args JMH's own options
     * @throws IOException if results cannot be written
     */
    public static void main(final String[] args) throws IOException {
        org.openjdk.jmh.Main.main(args);
    }
}
