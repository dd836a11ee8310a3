package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Datagrams that are no message, or one with odd values: parsing them must not fail. */
class OddDatagramTest {

    /** Stack of the threads of a VM as it is deployed. */
    private static final long STACK_BYTES = 256 << 10;

    private static final List<String> MESSAGES =
            List.of(
                    "unreachable i-1 1700000000000",
                    "leaving i-1 1700000000000",
                    "departed i-1 1700000000000 1 2 true",
                    "copies edge-1",
                    "changed configuration 1 2",
                    "limit i-1 1700000000000 3.1",
                    "limit i-1 1700000000000 1.0E-5",
                    "limit i-1 1700000000000 -",
                    "loads edge-1 i-1,3,4 i-2,5,6/1/2/-3@1/2/-3",
                    "sums edge-1 2 i-1,3,4/1/2/3@4/5/6",
                    "rollout portal v2 1 2 3",
                    "evidence portal v2 1 2 3 PACE:4:5:i-1,6 FAILURE/safe:7:8",
                    "crash i-1 1700000000000 0123456789abcdef,fedcba9876543210",
                    "answered 0123456789abcdef i-1,1700000000000",
                    "permit-request edge-1 7 i-1 8 4 400 4000 2 news",
                    "permit-request edge-1 7 i-1 8 4 400 4000",
                    "permit-reply edge-1 7 i-1 8 edge-2 true 1 2 3 4",
                    "permit-return edge-1 7 i-1 8 55");

    private static final List<String> REPEATED =
            List.of(
                    "loads v a",
                    "sums v 1 a",
                    "evidence s v 1 2 3 a",
                    "crash i 1 0123456789abcdef",
                    "crash i 1 0123456789abcdef,0123456789abcdef",
                    "answered 0123456789abcdef a,1");

    private static void parseOnSmallStack(final String text) throws InterruptedException {
        final AtomicReference<Throwable> thrown = new AtomicReference<>();
        final Thread thread =
                new Thread(null, () -> PeerMessage.parse(text), "event-loop", STACK_BYTES);
        thread.setUncaughtExceptionHandler((t, e) -> thrown.set(e));
        thread.start();
        thread.join();
        assertThat(thrown.get()).as(text.substring(0, Math.min(80, text.length()))).isNull();
    }

    /** Guards against a message that fits into a datagram and exceeds the stack of the reader. */
    @Test
    void aMessageOfManyShortWordsIsParsedOnAStackOfUsualSize() throws Exception {
        for (final String message : REPEATED) {
            final int word = Math.max(message.lastIndexOf(' '), message.lastIndexOf(','));
            for (final char separator : new char[] {' ', ','}) {
                final String repeated = separator + message.substring(word + 1);
                final int times = (PeerMessenger.MAX_BYTES - message.length()) / repeated.length();
                parseOnSmallStack(message + repeated.repeat(times));
            }
        }
    }

    @Test
    void everyMessageOfTheListIsOne() {
        for (final String message : MESSAGES) {
            assertThat(PeerMessage.parse(message)).as(message).isPresent();
        }
    }

    /** Guards against a value that passes the pattern and fails in the type that it is read to. */
    @Test
    void cutFlippedAndMixedMessagesAreParsedOrIgnored() {
        final long seed = Long.getLong("fennelstage.odd.seed", 1);
        final Random random = new Random(seed);
        for (int i = 0; i < Integer.getInteger("fennelstage.odd.tries", 20_000); i++) {
            final String text = mutated(random);
            assertThatCode(() -> PeerMessage.parse(text).ifPresent(PeerMessage::text))
                    .as("seed " + seed + ": " + text)
                    .doesNotThrowAnyException();
        }
    }

    /** Guards against sums that overflow: all numbers at their largest, and at zero. */
    @Test
    void messagesWithExtremeNumbersAreParsedOrIgnored() {
        for (final String message : MESSAGES) {
            for (final String number :
                    List.of(
                            "0",
                            "9",
                            "99",
                            "999999",
                            "999999999",
                            "9".repeat(18),
                            "9".repeat(19),
                            "-1")) {
                final String text = message.replaceAll("(?<=[ ,/:@])[0-9]+(?=[ ,/:@]|$)", number);
                assertThatCode(() -> PeerMessage.parse(text).ifPresent(PeerMessage::text))
                        .as(text)
                        .doesNotThrowAnyException();
            }
        }
    }

    private static String mutated(final Random random) {
        final String message = MESSAGES.get(random.nextInt(MESSAGES.size()));
        final byte[] bytes = message.getBytes(StandardCharsets.UTF_8);
        switch (random.nextInt(5)) {
            case 0 -> {
                return message.substring(0, random.nextInt(message.length()));
            }
            case 1 -> {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
                return new String(bytes, StandardCharsets.UTF_8);
            }
            case 2 -> {
                random.nextBytes(bytes);
                return new String(bytes, StandardCharsets.UTF_8);
            }
            case 3 -> {
                final String other = MESSAGES.get(random.nextInt(MESSAGES.size()));
                return message + other.substring(random.nextInt(other.length()));
            }
            default -> {
                return Stream.of(message.split(" "))
                        .map(word -> random.nextInt(3) == 0 ? odd(random) : word)
                        .collect(Collectors.joining(" "));
            }
        }
    }

    private static String odd(final Random random) {
        return List.of(
                        "",
                        "0",
                        "-",
                        "true",
                        "1E400",
                        "1.0E999",
                        "9".repeat(18),
                        "a".repeat(96),
                        "..",
                        "\u0000",
                        "\ud800",
                        "a,b",
                        ":")
                .get(random.nextInt(13));
    }
}
