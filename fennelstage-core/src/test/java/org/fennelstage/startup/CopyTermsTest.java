package org.fennelstage.startup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.fennelstage.history.Position;
import org.fennelstage.startup.CopyTerms.Answer;
import org.junit.jupiter.api.Test;

class CopyTermsTest {

    private static final OptionalLong READ = OptionalLong.of(10_000);

    private static Answer answer(
            final boolean ready, final OptionalLong read, final long lostMillis) {
        return CopyTerms.answer(ready, read, lostMillis, false);
    }

    /** Guards against two VMs that start taking each other's incomplete state. */
    @Test
    void aVmThatIsNotReadyGivesNothing() {
        assertThat(answer(false, READ, 11_000)).isEqualTo(Answer.NOT_READY);
    }

    /** Guards against copies of copies, whose age grows with each VM. */
    @Test
    void aKindThatWasNotReadFromTheStoreIsNotGiven() {
        assertThat(answer(true, OptionalLong.empty(), 11_000)).isEqualTo(Answer.NOT_READ);
    }

    /** Guards against giving what a VM had stopped to read before the store was lost. */
    @Test
    void aKindWithoutResponsesLongBeforeTheStoreWasLostIsNotGiven() {
        final long limit = 10_000 + CopyTerms.MAX_UNCONFIRMED_MILLIS;
        assertThat(answer(true, READ, limit)).isEqualTo(Answer.GIVEN);
        assertThat(answer(true, READ, limit + 1)).isEqualTo(Answer.OUTDATED);
    }

    /** Guards against delaying callers by copies sent to many VMs at once. */
    @Test
    void nothingIsGivenWhileTheLinkIsBusy() {
        assertThat(CopyTerms.answer(true, READ, 11_000, true)).isEqualTo(Answer.BUSY);
    }

    /** Guards against a VM that knows the servers from a copy and uses none of them. */
    @Test
    void ordersReachTheServersIfNoUnreadOrderConcernsThem() {
        final Position orders = Position.of(2, 50);
        final Position servers = Position.of(2, 90);
        assertThat(CopyTerms.ordersPosition(orders, servers, true)).isEqualTo(servers);
        assertThat(CopyTerms.ordersPosition(orders, servers, false)).isEqualTo(orders);
        assertThat(CopyTerms.ordersPosition(servers, orders, true)).isEqualTo(servers);
        assertThat(CopyTerms.ordersPosition(orders, Position.of(3, 90), true)).isEqualTo(orders);
    }

    /** Guards against replacing what the store returned, or a later copy, by an earlier one. */
    @Test
    void onlyALaterCopyReplacesACopyAndNoneReplacesTheStore() {
        final Position copy = Position.of(1, 50);
        assertThat(CopyTerms.replaces(Position.NONE, false, copy)).isTrue();
        assertThat(CopyTerms.replaces(copy, false, copy)).isFalse();
        assertThat(CopyTerms.replaces(copy, false, Position.of(1, 51))).isTrue();
        assertThat(CopyTerms.replaces(copy, false, Position.of(0, 99))).isFalse();
        assertThat(CopyTerms.replaces(copy, true, Position.of(1, 51))).isFalse();
    }
}
