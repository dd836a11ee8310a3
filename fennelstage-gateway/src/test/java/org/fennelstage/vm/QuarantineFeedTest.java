package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.crash.ClearedCrashes;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.Quarantine;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.gateway.CrashWatch;
import org.fennelstage.history.Position;
import org.fennelstage.http.HttpClient;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class QuarantineFeedTest {

    private static final Fingerprint CONTENT = new Fingerprint(7);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ManualStore store = new ManualStore();
    private final CrashWatch crashes = new CrashWatch(now::get, new HttpClient(group.next()));
    private int turn;
    private final QuarantineFeed feed =
            new QuarantineFeed(crashes, store, name -> turn, now::get, () -> {});

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static StoredValue<Fingerprint> stored(final Optional<Fingerprint> content) {
        return new StoredValue<>(CONTENT.toString(), Position.of(0, 5), content, Optional.empty());
    }

    @Test
    void theVmInTurnWritesARequestOnce() {
        crashes.quarantine(CONTENT, "test");
        feed.writeDue();
        feed.writeDue();
        assertThat(store.waiting()).hasSize(1);
        store.answer(new StoreResult.Done<>(null));
        feed.writeDue();
        assertThat(store.waiting()).isEmpty();
    }

    @Test
    void aVmThatHearsOfTheWriteInTimeMakesNone() {
        turn = 2;
        crashes.quarantine(CONTENT, "test");
        feed.writeDue();
        feed.onChange(stored(Optional.of(CONTENT)));
        now.addAndGet(10_000);
        feed.writeDue();
        assertThat(store.waiting()).isEmpty();
    }

    @Test
    void aWriteThatFailsIsMadeAgainAfterAPause() {
        crashes.quarantine(CONTENT, "test");
        feed.writeDue();
        store.answer(new StoreResult.Unavailable<>(true, "no answer"));
        feed.writeDue();
        assertThat(store.waiting()).isEmpty();
        now.addAndGet(1_000);
        feed.writeDue();
        assertThat(store.waiting()).hasSize(1);
    }

    @Test
    void whatTheStoreListsIsRefusedAndWhatItLostIsWrittenAgain() {
        feed.onAll(List.of(stored(Optional.of(CONTENT))));
        assertThat(crashes.quarantine().remaining(CONTENT)).isPresent();
        feed.onAll(List.of());
        feed.writeDue();
        assertThat(store.waiting()).hasSize(1);
    }

    @Test
    void aRequestWhoseTimeIsOverIsDeletedAndNotTakenUpAgain() {
        feed.onAll(List.of(stored(Optional.of(CONTENT))));
        now.addAndGet(Quarantine.LIFETIME.toMillis() + 1);
        feed.writeDue();
        assertThat(store.waiting()).hasSize(1);
        feed.onAll(List.of(stored(Optional.of(CONTENT))));
        assertThat(crashes.quarantine().remaining(CONTENT)).isEmpty();
        store.answer(new StoreResult.Done<>(null));
        feed.onChange(stored(Optional.empty()));
        feed.writeDue();
        assertThat(store.waiting()).isEmpty();
    }

    @Test
    void anObjectThatAnOperatorDeletesReleasesItsRequest() {
        feed.onAll(List.of(stored(Optional.of(CONTENT))));
        feed.onChange(stored(Optional.empty()));
        assertThat(crashes.quarantine().remaining(CONTENT)).isEmpty();
        feed.writeDue();
        assertThat(store.waiting()).isEmpty();
    }

    @Test
    void aNameThatIsNoRequestsReleasesNone() {
        feed.onAll(List.of(stored(Optional.of(CONTENT))));
        feed.onChange(
                new StoredValue<>("other", Position.of(0, 6), Optional.empty(), Optional.empty()));
        assertThat(crashes.quarantine().remaining(CONTENT)).isPresent();
    }

    /** Guards against a request that was answered and that the store has refused again. */
    @Test
    void aRequestThatWasAnsweredIsDeletedFromTheStoreAndNotTakenUpAgain() {
        feed.onAll(List.of(stored(Optional.of(CONTENT))));
        final Incarnation server = Incarnation.of(BackendServerId.of("i-1"));
        crashes.onAcquittal(new ClearedCrashes(CONTENT, Set.of(server)));
        assertThat(crashes.quarantine().remaining(CONTENT)).isEmpty();
        feed.writeDue();
        assertThat(store.waiting()).hasSize(1);
        feed.onChange(stored(Optional.of(CONTENT)));
        assertThat(crashes.quarantine().remaining(CONTENT)).isEmpty();
    }
}
