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
import org.fennelstage.crash.QuarantineEntry;
import org.fennelstage.crash.RequestFingerprints;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.gateway.CrashDetector;
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
    private static final QuarantineEntry ENTRY = QuarantineEntry.of(CONTENT);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ManualStore store = new ManualStore();
    private final CrashDetector crashes =
            new CrashDetector(now::get, new HttpClient(group.next()), () -> true);
    private int rank;
    private final QuarantineFeed feed =
            new QuarantineFeed(crashes, store, name -> rank, now::get, () -> {});

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static StoredValue<QuarantineEntry> stored(final Optional<QuarantineEntry> entry) {
        return new StoredValue<>(CONTENT.toString(), Position.of(0, 5), entry, Optional.empty());
    }

    @Test
    void firstRankWritesFingerprintOnce() {
        crashes.quarantine(CONTENT, "test");
        feed.writeDue();
        feed.writeDue();
        assertThat(store.pending()).hasSize(1);
        store.complete(new StoreResult.Done<>(null));
        feed.writeDue();
        assertThat(store.pending()).isEmpty();
    }

    @Test
    void laterRankDoesNotWriteIfAnotherVmDid() {
        rank = 2;
        crashes.quarantine(CONTENT, "test");
        feed.writeDue();
        feed.onChange(stored(Optional.of(ENTRY)));
        now.addAndGet(10_000);
        feed.writeDue();
        assertThat(store.pending()).isEmpty();
    }

    @Test
    void failedWriteIsRetriedAfterPause() {
        crashes.quarantine(CONTENT, "test");
        feed.writeDue();
        store.complete(new StoreResult.Unavailable<>(true, "no response"));
        feed.writeDue();
        assertThat(store.pending()).isEmpty();
        now.addAndGet(1_000);
        feed.writeDue();
        assertThat(store.pending()).hasSize(1);
    }

    @Test
    void listedFingerprintIsQuarantinedAndRewrittenIfLost() {
        feed.onAll(List.of(stored(Optional.of(ENTRY))));
        assertThat(crashes.quarantine().remaining(CONTENT)).isPresent();
        feed.onAll(List.of());
        feed.writeDue();
        assertThat(store.pending()).hasSize(1);
    }

    @Test
    void expiredFingerprintIsDeletedAndNotQuarantinedAgain() {
        feed.onAll(List.of(stored(Optional.of(ENTRY))));
        now.addAndGet(Quarantine.LIFETIME.toMillis() + 1);
        feed.writeDue();
        assertThat(store.pending()).hasSize(1);
        feed.onAll(List.of(stored(Optional.of(ENTRY))));
        assertThat(crashes.quarantine().remaining(CONTENT)).isEmpty();
        store.complete(new StoreResult.Done<>(null));
        feed.onChange(stored(Optional.empty()));
        feed.writeDue();
        assertThat(store.pending()).isEmpty();
    }

    @Test
    void deletedObjectReleasesItsFingerprint() {
        feed.onAll(List.of(stored(Optional.of(ENTRY))));
        feed.onChange(stored(Optional.empty()));
        assertThat(crashes.quarantine().remaining(CONTENT)).isEmpty();
        feed.writeDue();
        assertThat(store.pending()).isEmpty();
    }

    @Test
    void invalidNameReleasesNothing() {
        feed.onAll(List.of(stored(Optional.of(ENTRY))));
        feed.onChange(
                new StoredValue<>("other", Position.of(0, 6), Optional.empty(), Optional.empty()));
        assertThat(crashes.quarantine().remaining(CONTENT)).isPresent();
    }

    /** Guards against a store entry that quarantines a released request again. */
    @Test
    void clearedFingerprintIsDeletedAndNotQuarantinedAgain() {
        feed.onAll(List.of(stored(Optional.of(ENTRY))));
        final Incarnation server = Incarnation.of(BackendServerId.of("i-1"));
        crashes.onClearedCrashes(new ClearedCrashes(CONTENT, Set.of(server)));
        assertThat(crashes.quarantine().remaining(CONTENT)).isEmpty();
        feed.writeDue();
        assertThat(store.pending()).hasSize(1);
        feed.onChange(stored(Optional.of(ENTRY)));
        assertThat(crashes.quarantine().remaining(CONTENT)).isEmpty();
    }

    private RequestFingerprints requestWithPart(final int content) {
        return new RequestFingerprints(new Fingerprint(content), List.of(CONTENT));
    }

    private void rejectRequestWithPart() {
        assertThat(crashes.rejectionTime(requestWithPart(50))).isPresent();
    }

    /** Guards against a quarantined part whose requests get no response that could clear it. */
    @Test
    void aTrialIsClaimedOnlyWhileRequestsWithThePartArrive() {
        feed.onAll(List.of(stored(Optional.of(ENTRY))));
        now.addAndGet(2_000);
        feed.writeDue();
        assertThat(store.pending()).isEmpty();
        rejectRequestWithPart();
        feed.writeDue();
        assertThat(store.pending()).hasSize(1);
        store.complete(new StoreResult.Done<>(null));
        assertThat(crashes.takeTrial(requestWithPart(51))).isNotEmpty();
        assertThat(crashes.takeTrial(requestWithPart(52))).isEmpty();
    }

    /** Guards against trials at several VMs at once. */
    @Test
    void aTrialThatAnotherVmHasClaimedIsNotPerformed() {
        feed.onAll(List.of(stored(Optional.of(ENTRY))));
        now.addAndGet(2_000);
        rejectRequestWithPart();
        feed.writeDue();
        store.complete(new StoreResult.Conflict<>());
        assertThat(crashes.takeTrial(requestWithPart(51))).isEmpty();
    }

    /** Guards against more trials than requests that may still reach backend servers. */
    @Test
    void atMostTwoTrialsTakePlaceInAllAlsoWhenTheStoreForgetsThem() {
        feed.onAll(List.of(stored(Optional.of(ENTRY))));
        int claimed = 0;
        for (int i = 0; i < 100; i++) {
            now.addAndGet(2_000);
            rejectRequestWithPart();
            feed.writeDue();
            if (!store.pending().isEmpty()) {
                claimed++;
                store.complete(new StoreResult.Done<>(null));
            }
            feed.onAll(List.of(stored(Optional.of(ENTRY))));
        }
        assertThat(claimed).isEqualTo(2);
    }

    @Test
    void theTrialsOfAReleasedPartAreDeleted() {
        feed.onAll(List.of(stored(Optional.of(ENTRY))));
        now.addAndGet(2_000);
        rejectRequestWithPart();
        feed.writeDue();
        store.complete(new StoreResult.Done<>(null));
        crashes.onResponse(requestWithPart(51));
        assertThat(crashes.rejectionTime(requestWithPart(52))).isEmpty();
        feed.writeDue();
        assertThat(store.pending()).hasSize(2);
    }
}
