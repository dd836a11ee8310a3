package org.fennelstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.junit.jupiter.api.Test;

class FramingTest {

    private final DefaultHttpHeaders headers = new DefaultHttpHeaders();

    @Test
    void aBodyWithoutLengthAndChunksEndsWithItsConnection() {
        assertThat(Framing.endsWithConnection("POST", 200, headers)).isTrue();
    }

    @Test
    void aBodyWithLengthOrChunksDoesNot() {
        headers.set("Content-Length", 3);
        assertThat(Framing.endsWithConnection("POST", 200, headers)).isFalse();
        headers.clear();
        headers.set("Transfer-Encoding", "chunked");
        assertThat(Framing.endsWithConnection("POST", 200, headers)).isFalse();
    }

    @Test
    void aResponseWithoutBodyDoesNot() {
        assertThat(Framing.endsWithConnection("HEAD", 200, headers)).isFalse();
        assertThat(Framing.endsWithConnection("GET", 204, headers)).isFalse();
        assertThat(Framing.endsWithConnection("GET", 304, headers)).isFalse();
    }
}
