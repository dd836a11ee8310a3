package org.fennelstage.route;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.DoubleConsumer;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.Responses;
import org.fennelstage.member.Rendezvous;
import org.fennelstage.objects.Json;

/**
 * Sends a sample of answers to the rating service. What does not come back is not rated; nothing
 * waits for it. Thread-safe.
 */
final class Ratings {

    private static final int OK = 200;

    private final Optional<InetSocketAddress> address;
    private final double share;

    Ratings(final Optional<InetSocketAddress> address, final double share) {
        this.address = address;
        this.share = share;
    }

    /**
     * Has an answer rated if it falls into the sample.
     *
     * @param client makes the call
     * @param request the request's id, which decides on the sample
     * @param answer the answer
     * @param onRating takes the rating, in [0, 1]
     */
    void rate(
            final HttpClient client,
            final String request,
            final String answer,
            final DoubleConsumer onRating) {
        if (address.isEmpty() || fraction(request) >= share) {
            return;
        }
        client.send(
                address.get(),
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/v1/ratings",
                        Unpooled.copiedBuffer(answer, StandardCharsets.UTF_8)),
                CallOptions.DEFAULT,
                Responses.collecting(whole -> onWhole(whole, onRating), failure -> {}));
    }

    /** Returns a number in [0, 1) that depends on the request alone. */
    static double fraction(final String request) {
        return (Rendezvous.weight("sample", request) >>> 11) * 0x1.0p-53;
    }

    private static void onWhole(final Responses.Whole whole, final DoubleConsumer onRating) {
        if (whole.status() != OK) {
            return;
        }
        try {
            final var rating = Json.mapper().readTree(whole.body()).path("rating");
            if (rating.isNumber()) {
                onRating.accept(rating.asDouble());
            }
        } catch (final IOException e) {
            // An unreadable rating counts as none.
            return;
        }
    }
}
