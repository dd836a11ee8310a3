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
 * Sends a sample of answers to the rating service asynchronously. Failed calls are ignored.
 * Thread-safe.
 */
final class RatingClient {

    private static final int STATUS_OK = 200;

    private final Optional<InetSocketAddress> address;
    private final double sampleShare;

    RatingClient(final Optional<InetSocketAddress> address, final double sampleShare) {
        this.address = address;
        this.sampleShare = sampleShare;
    }

    /**
     * Requests a rating of an answer if the request belongs to the sample.
     *
     * @param client the HTTP client
     * @param request the request id, whose hash decides whether it belongs to the sample
     * @param answer the answer
     * @param onRating called with the rating, in [0, 1]
     */
    void rate(
            final HttpClient client,
            final String request,
            final String answer,
            final DoubleConsumer onRating) {
        if (address.isEmpty() || sampleFraction(request) >= sampleShare) {
            return;
        }
        client.collect(
                address.get(),
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/v1/ratings",
                        Unpooled.copiedBuffer(answer, StandardCharsets.UTF_8)),
                CallOptions.DEFAULT,
                response -> onResponse(response, onRating),
                failure -> {});
    }

    /** Returns a hash of the key as a number in [0, 1). */
    static double sampleFraction(final String key) {
        return (Rendezvous.weight("sample", key) >>> 11) * 0x1.0p-53;
    }

    private static void onResponse(
            final Responses.FullResponse response, final DoubleConsumer onRating) {
        if (response.status() != STATUS_OK) {
            return;
        }
        try {
            final var rating = Json.mapper().readTree(response.body()).path("rating");
            if (rating.isNumber()) {
                onRating.accept(rating.asDouble());
            }
        } catch (final IOException e) {
            // An invalid rating is ignored.
            return;
        }
    }
}
