package org.fennelstage.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the {@code Keep-Alive} response header. Stateless and thread-safe. */
final class KeepAlive {

    private static final String HEADER = "keep-alive";
    private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

    private KeepAlive() {}

    static Optional<Duration> timeout(final HttpHeaders headers) {
        final String value = headers.get(HEADER);
        if (value == null) {
            return Optional.empty();
        }
        final Matcher matcher = TIMEOUT.matcher(value);
        return matcher.find()
                ? Optional.of(Duration.ofSeconds(Long.parseLong(matcher.group(1))))
                : Optional.empty();
    }
}
