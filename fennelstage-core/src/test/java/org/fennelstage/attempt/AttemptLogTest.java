package org.fennelstage.attempt;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class AttemptLogTest {

    private static final BackendServerId SERVER = BackendServerId.of("s-1");
    private static final BackendServerId OTHER = BackendServerId.of("s-2");

    /** Guards against a second execution of a request whose response was lost. */
    @Test
    void aRequestThatMustNotBeRetriedIsNotSentAgainAfterALostResponse() {
        final AttemptLog log = AttemptLog.of(false, 3);
        log.begin(SERVER);
        log.end(AttemptEnd.UNKNOWN);
        assertThat(log.maySend()).isFalse();
        assertThat(log.mayHaveRun()).isTrue();
    }

    @Test
    void aRejectedRequestMayBeSentAgainAndDidNotRun() {
        final AttemptLog log = AttemptLog.of(false, 3);
        log.begin(SERVER);
        log.end(AttemptEnd.REJECTED);
        assertThat(log.maySend()).isTrue();
        assertThat(log.mayHaveRun()).isFalse();
        assertThat(log.tried(SERVER)).isTrue();
        assertThat(log.tried(OTHER)).isFalse();
    }

    /**
     * Guards against the promise "not run" for a request that is running when its deadline passes.
     */
    @Test
    void aRequestMayHaveRunWhileAnAttemptIsOpen() {
        final AttemptLog log = AttemptLog.of(true, 3);
        log.begin(SERVER);
        assertThat(log.mayHaveRun()).isTrue();
        assertThat(log.maySend()).isFalse();
    }

    @Test
    void anAttemptThatWasNotSentDoesNotCountTowardsMaxServers() {
        final AttemptLog log = AttemptLog.of(false, 1);
        log.begin(SERVER);
        log.end(AttemptEnd.NOT_SENT);
        assertThat(log.maySend()).isTrue();
        log.begin(OTHER);
        log.end(AttemptEnd.REJECTED);
        assertThat(log.maySend()).isFalse();
    }

    @Test
    void beginFailsIfNoAttemptIsAllowed() {
        final AttemptLog log = AttemptLog.of(false, 3);
        log.begin(SERVER);
        assertThatThrownBy(() -> log.begin(OTHER)).isInstanceOf(IllegalStateException.class);
    }

    /** Guards against the promise "not run" for a request whose first attempt is still running. */
    @Test
    void aRequestMayHaveRunWhileAnAttemptIsSetAside() {
        final AttemptLog log = AttemptLog.of(true, 3);
        log.begin(SERVER);
        log.setAside();
        assertThat(log.maySend()).isTrue();
        log.begin(OTHER);
        log.end(AttemptEnd.REJECTED);
        assertThat(log.mayHaveRun()).isTrue();
        log.takeUp();
        assertThat(log.maySend()).isFalse();
        log.end(AttemptEnd.REJECTED);
        assertThat(log.mayHaveRun()).isFalse();
    }

    /** Guards against a second execution of a request that is set aside. */
    @Test
    void aRequestThatMustNotBeRetriedIsNotSentWhileAnAttemptIsSetAside() {
        final AttemptLog log = AttemptLog.of(false, 3);
        log.begin(SERVER);
        log.setAside();
        assertThat(log.maySend()).isFalse();
        log.endAside(AttemptEnd.UNKNOWN);
        assertThat(log.maySend()).isFalse();
        assertThat(log.mayHaveRun()).isTrue();
    }

    @Test
    void onlyOneAttemptIsSetAside() {
        final AttemptLog log = AttemptLog.of(true, 3);
        assertThatThrownBy(log::setAside).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(log::takeUp).isInstanceOf(IllegalStateException.class);
        log.begin(SERVER);
        log.setAside();
        log.begin(OTHER);
        assertThatThrownBy(log::setAside).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(log::takeUp).isInstanceOf(IllegalStateException.class);
    }

    @Property
    void aRequestThatMustNotBeRetriedIsNotSentAfterItMayHaveRun(
            @ForAll final List<AttemptEnd> ends) {
        final AttemptLog log = AttemptLog.of(false, ends.size() + 1);
        int sentAfterRun = 0;
        boolean mayHaveRun = false;
        for (final AttemptEnd end : ends) {
            if (!log.maySend()) {
                break;
            }
            sentAfterRun += mayHaveRun ? 1 : 0;
            log.begin(SERVER);
            log.end(end);
            mayHaveRun = mayHaveRun || end.mayHaveRun();
        }
        assertThat(sentAfterRun).isZero();
        assertThat(log.mayHaveRun()).isEqualTo(mayHaveRun);
    }
}
