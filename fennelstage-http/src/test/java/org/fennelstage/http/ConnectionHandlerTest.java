package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests on one connection while the server stops. */
class ConnectionHandlerTest {

    private final AtomicBoolean closing = new AtomicBoolean();
    private final Queue<ServerExchange> handled = new ArrayDeque<>();
    private final ConnectionHandler handler =
            new ConnectionHandler(handled::add, closing::get, new AtomicInteger());
    private final EmbeddedChannel connection = new EmbeddedChannel(handler);

    @AfterEach
    void releaseBuffers() {
        connection.finishAndReleaseAll();
    }

    private void receive(final String path) {
        connection.writeInbound(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path));
        connection.runPendingTasks();
    }

    private void respondToNext() {
        final ServerExchange exchange = handled.remove();
        exchange.respond(200, "text/plain", exchange.path());
        connection.runPendingTasks();
    }

    private void assertResponse(final String body, final boolean last) {
        final FullHttpResponse response = connection.readOutbound();
        assertThat(response.content().toString(StandardCharsets.US_ASCII)).isEqualTo(body);
        assertThat(response.headers().contains(HttpHeaderNames.CONNECTION, "close", true))
                .isEqualTo(last);
        response.release();
    }

    /**
     * Guards against losing a request that was read behind the one that runs when a stop begins.
     */
    @Test
    void requestsReadBeforeTheStopAreAnswered() {
        receive("/1");
        receive("/2");
        closing.set(true);
        handler.refuseFurtherRequests();
        respondToNext();
        assertResponse("/1", false);
        respondToNext();
        assertResponse("/2", true);
        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against work that is accepted so late in a stop that the exit cuts it. */
    @Test
    void aRequestReadBehindARunningOneLateInTheStopIsRefusedAsNotRun() {
        receive("/1");
        closing.set(true);
        handler.refuseFurtherRequests();
        receive("/2");
        respondToNext();
        assertResponse("/1", false);
        final FullHttpResponse refusal = connection.readOutbound();
        assertThat(refusal.status()).isEqualTo(HttpResponseStatus.SERVICE_UNAVAILABLE);
        assertThat(refusal.headers().contains(HttpHeaderNames.RETRY_AFTER)).isTrue();
        refusal.release();
        assertThat(handled).isEmpty();
        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against a response after the one that announced the end of the connection. */
    @Test
    void nothingFollowsAResponseThatAnnouncedTheEndOfItsConnection() {
        receive("/1");
        closing.set(true);
        final ServerExchange stream = handled.remove();
        stream.begin(200, Map.of());
        receive("/2");
        stream.end();
        connection.runPendingTasks();
        final HttpResponse head = connection.readOutbound();
        assertThat(head.headers().contains(HttpHeaderNames.CONNECTION, "close", true)).isTrue();
        assertThat(connection.isOpen()).isFalse();
        assertThat(handled).isEmpty();
    }
}
