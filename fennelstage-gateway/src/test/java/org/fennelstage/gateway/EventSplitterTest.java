package org.fennelstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

    private static final String STREAM =
            "id: 1\ndata: a\n\nid: 2\nweights: 4\ndata: b\r\n\r\ndata: no id\n\nid: 3\ndata: cut";

    private final List<String> events = new ArrayList<>();
    private final List<String> ids = new ArrayList<>();
    private final EventSplitter splitter =
            new EventSplitter(
                    (event, id) -> {
                        events.add(new String(event, StandardCharsets.UTF_8));
                        ids.add(id.orElse("-"));
                    });

    @Test
    void onlyWholeEventsAreEmitted() {
        feed(STREAM);
        assertThat(ids).containsExactly("1", "2", "-");
        assertThat(splitter.hasPartial()).isTrue();
        feed("\n\n");
        assertThat(ids).containsExactly("1", "2", "-", "3");
        assertThat(splitter.hasPartial()).isFalse();
    }

    @Property
    void eventsDoNotDependOnChunkBoundaries(
            @ForAll @Size(max = 12) final List<@IntRange(min = 0, max = 70) Integer> cuts) {
        events.clear();
        final EventSplitter fresh =
                new EventSplitter(
                        (event, id) -> events.add(new String(event, StandardCharsets.UTF_8)));
        int from = 0;
        for (final int cut : cuts.stream().sorted().toList()) {
            final int to = Math.min(cut, STREAM.length());
            fresh.feed(Unpooled.copiedBuffer(STREAM.substring(from, to), StandardCharsets.UTF_8));
            from = to;
        }
        fresh.feed(Unpooled.copiedBuffer(STREAM.substring(from), StandardCharsets.UTF_8));
        assertThat(String.join("", events)).isEqualTo(STREAM.substring(0, STREAM.indexOf("id: 3")));
    }

    private void feed(final String text) {
        splitter.feed(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }
}
