package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Malformed and oversize requests, invalid credentials, session tokens and deadlines. */
class BadInputTest {

    private static final String HEAD =
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                    + Fleet.TEAM_KEY
                    + "\r\n";
    private static Fleet fleet;

    @BeforeAll
    static void start() throws IOException {
        fleet = new Fleet(1, 1);
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @Test
    void malformedJsonIsRejectedAndTheConnectionStaysUsable() throws IOException {
        final String malformed = HEAD + "Content-Length: 3\r\n\r\n{a:";
        final String valid =
                "GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer "
                        + Fleet.TEAM_KEY
                        + "\r\n\r\n";
        final String responses = raw(malformed + valid);
        assertThat(responses).contains("400 Bad Request").contains("the body is not JSON");
        assertThat(responses).contains("200 OK").contains("\"id\":\"draft\"");
    }

    @Test
    void requestWithContentLengthAndTransferEncodingIsRejectedAndTheConnectionIsClosed()
            throws IOException {
        final String response =
                raw(
                        HEAD
                                + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + "0\r\n\r\nGET /v1/models HTTP/1.1\r\n\r\n");
        assertThat(response).contains("400 Bad Request").doesNotContain("200 OK");
    }

    @Test
    void oversizeBodyIsRejected() throws IOException {
        final String response = raw(HEAD + "Content-Length: 10000000\r\n\r\n" + "x".repeat(1000));
        assertThat(response).contains("413").contains("too_large");
    }

    @Test
    void oversizeHeaderIsRejected() throws IOException {
        final String response = raw(HEAD + "X-Long: " + "y".repeat(20_000) + "\r\n\r\n");
        assertThat(response)
                .contains("431 Request Header Fields Too Large")
                .contains("refused-not-run");
    }

    @Test
    void invalidTeamKeyIsRejected() {
        final Fleet.Response response =
                fleet.sendAsync(0, "GET", "/v1/models", "", "x-unused", "1").join();
        assertThat(response.status()).isEqualTo(200);
        assertThat(
                        rawUnchecked(
                                "GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                        + "Authorization: Bearer wrong\r\n\r\n"))
                .contains("401")
                .contains("unauthenticated");
    }

    @Test
    void unknownProfileIsRejectedWithAListOfAvailableOnes() {
        final Fleet.Response response = fleet.chat(0, "no-such");
        assertThat(response.status()).isEqualTo(404);
        assertThat(response.body()).contains("[digest, draft, send]");
    }

    @Test
    void modifiedSessionTokenIsRejected() {
        final String session = fleet.chat(0, "draft", "x-session", "new").sessionToken();
        final String modified = session.substring(0, session.length() - 2) + "AA";
        final Fleet.Response response = fleet.chat(0, "draft", "x-session", modified);
        assertThat(response.status()).isEqualTo(400);
        assertThat(response.body()).contains("invalid_session");
    }

    @Test
    void shortDeadlineIsAcceptedAndMalformedDeadlineIsRejected() {
        final Fleet.Response response = fleet.chat(0, "draft", "x-deadline-ms", "1");
        assertThat(response.outcome())
                .isIn("refused-not-run", "outcome-unknown", "failed-after-run", "complete");
        assertThat(fleet.chat(0, "draft", "x-deadline-ms", "soon").status()).isEqualTo(400);
    }

    private static String rawUnchecked(final String request) {
        try {
            return raw(request);
        } catch (final IOException e) {
            throw new AssertionError(e);
        }
    }

    private static String raw(final String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", fleet.vm(0).port())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
