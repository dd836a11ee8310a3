package org.fennelstage.copy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.fennelstage.history.Position;
import org.fennelstage.http.HttpClient;
import org.fennelstage.store.Page;
import org.fennelstage.store.PageText;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoredValue;
import org.junit.jupiter.api.Test;

class KeptCopyTest {

    private static final int MEGABYTE = 1_000_000;

    /** Lists that consist of the newest text. */
    private static final class NewestText implements CopyFormat {
        private int merges;

        @Override
        public Optional<StoreKind<?>> listedKind(final String target) {
            return Optional.empty();
        }

        @Override
        public Optional<PageText> merge(
                final List<PageText> texts,
                final Position position,
                final Predicate<String> included) {
            merges++;
            return Optional.of(PageText.of(texts.get(texts.size() - 1).bytes()));
        }

        @Override
        public HttpHeaders headers(final Position position) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CopySource sourceAt(final HttpClient http, final InetSocketAddress vm) {
            throw new UnsupportedOperationException();
        }
    }

    private final AtomicLong now = new AtomicLong();
    private final NewestText format = new NewestText();
    private final KeptCopy copy = new KeptCopy(format, now::get);

    private static PageText text(final int bytes, final char content) {
        final byte[] all = new byte[bytes];
        Arrays.fill(all, (byte) content);
        return PageText.of(all);
    }

    private static Page<String> changes(final long revision, final Optional<PageText> text) {
        final Position position = Position.of(1, revision);
        final List<StoredValue<String>> values =
                text.isEmpty()
                        ? List.of()
                        : List.of(
                                new StoredValue<>(
                                        "main", position, Optional.of("x"), Optional.empty()));
        return new Page<>(values, Optional.empty(), position, text);
    }

    private String content() {
        final byte[] list = copy.list(copy.position(), name -> true).orElseThrow().bytes();
        return new String(list, StandardCharsets.UTF_8);
    }

    /** Guards against a configuration of 1 MB that changes often taking the heap of a small VM. */
    @Test
    void aConfigurationThatChangesOftenTakesAtMostThreeTimesItsSize() {
        copy.onList(List.of(Optional.of(text(MEGABYTE, 'a'))), Position.of(1, 1));
        for (int i = 0; i < 50; i++) {
            now.addAndGet(200);
            copy.onChanges(changes(2 + i, Optional.of(text(MEGABYTE, (char) ('b' + i % 20)))));
            assertThat(copy.heldBytes()).isLessThanOrEqualTo(3 * MEGABYTE);
        }
        assertThat(content()).hasSize(MEGABYTE).startsWith("k");
        assertThat(copy.position()).isEqualTo(Position.of(1, 51));
    }

    /** Guards against work of a VM whose store responds: empty watches and short changes. */
    @Test
    void emptyWatchesConfirmTheCopyWithoutMergingIt() {
        copy.onList(List.of(Optional.of(text(100, 'a'))), Position.of(1, 1));
        for (int i = 0; i < 20; i++) {
            now.addAndGet(100);
            copy.onChanges(changes(2 + i, Optional.empty()));
        }
        assertThat(copy.confirmedMillis()).hasValue(2_000);
        assertThat(copy.position()).isEqualTo(Position.of(1, 21));
        assertThat(format.merges).isZero();
    }

    /** Guards against a copy that lacks a change whose text is unknown. */
    @Test
    void aChangeWithoutTextEndsTheCopyUntilTheNextList() {
        copy.onList(List.of(Optional.of(text(100, 'a'))), Position.of(1, 1));
        final Page<String> change = changes(2, Optional.of(text(10, 'b')));
        copy.onChanges(new Page<>(change.values(), change.next(), change.position()));
        assertThat(copy.confirmedMillis()).isEmpty();
        copy.onChanges(changes(3, Optional.of(text(10, 'c'))));
        assertThat(copy.list(copy.position(), name -> true)).isEmpty();
        copy.onList(List.of(Optional.of(text(100, 'd'))), Position.of(1, 4));
        assertThat(content()).startsWith("d");
    }
}
