package org.fennelstage.bench;

import java.io.IOException;

/** Runs the JMH benchmarks of this module. */
public final class JmhMain {

    private JmhMain() {}

    /**
     * Runs the benchmarks that the options select.
     *
     * @param args the options of JMH
     * @throws IOException if results cannot be written
     */
    public static void main(final String[] args) throws IOException {
        org.openjdk.jmh.Main.main(args);
    }
}
