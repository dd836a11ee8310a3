package org.fennelstage.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Random;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.member.Member;
import org.fennelstage.peer.generated.ConfigurationObject;
import org.fennelstage.peer.generated.Envelope;
import org.fennelstage.peer.generated.Halt;
import org.fennelstage.peer.generated.Halts;
import org.fennelstage.peer.generated.MemberInfo;
import org.fennelstage.peer.generated.Objects;
import org.fennelstage.peer.generated.Probe;
import org.fennelstage.rollout.HaltTable;
import org.junit.jupiter.api.Test;

/** Messages between VMs with odd values: one part must not hide the others. */
class OddPeerMessageTest {

    private static MemberInfo.Builder member(final String id) {
        return MemberInfo.newBuilder()
                .setId(id)
                .setDataCentre("dc-a")
                .setHost("127.0.0.1")
                .setPort(80)
                .setIncarnation(1);
    }

    /**
     * Guards against a member with a port that is none: its address failed in the periodic probe of
     * each VM that had heard of it, and that probe never ran again.
     */
    @Test
    void oneOddMemberDoesNotHideTheOthers() {
        for (final MemberInfo odd :
                List.of(
                        member("odd").setPort(70_000).build(),
                        member("odd").setPort(-1).build(),
                        member("").build(),
                        member("a b").build(),
                        member("odd").setDataCentre("").build(),
                        MemberInfo.getDefaultInstance())) {
            assertThat(PeerCodec.decode(List.of(member("a").build(), odd, member("z").build())))
                    .as(odd.toString())
                    .extracting(m -> m.id().value())
                    .containsExactly("a", "z");
        }
    }

    @Test
    void aStateOfANewerVersionIsTheLastKnownOne() {
        assertThat(PeerCodec.decode(List.of(member("a").setState(1_000_000).build())))
                .extracting(Member::state)
                .containsExactly(Member.State.DEAD);
    }

    @Test
    void oneOddObjectDoesNotHideTheOthers() {
        final Objects objects =
                Objects.newBuilder()
                        .addObjects(ConfigurationObject.newBuilder().setKey("a/1").setRevision(1))
                        .addObjects(ConfigurationObject.newBuilder().setKey("/").setRevision(1))
                        .addObjects(ConfigurationObject.newBuilder().setKey("a/2").setRevision(-1))
                        .addObjects(ConfigurationObject.newBuilder().setKey("a/3").setRevision(1))
                        .build();
        assertThat(PeerCodec.decode(objects))
                .extracting(StoredObject::key)
                .extracting(Object::toString)
                .containsExactly("a/1", "a/3");
    }

    @Test
    void oneOddHaltDoesNotHideTheOthers() {
        final HaltTable table = HaltTable.empty();
        final Halts halts =
                Halts.newBuilder()
                        .addHalts(Halt.newBuilder().setRollout("").setSignal(1))
                        .addHalts(Halt.newBuilder().setRollout("june").setSignal(1_000))
                        .build();
        assertThat(PeerCodec.merge(halts, table)).isTrue();
        assertThat(table.all()).hasSize(1);
    }

    /** Guards against bytes that parse and then fail as something else than a malformed message. */
    @Test
    void messagesWithFlippedBitsAreReadOrMalformed() {
        final byte[] sound =
                Envelope.newBuilder()
                        .setProbe(
                                Probe.newBuilder().addMembers(member("a")).addMembers(member("z")))
                        .build()
                        .toByteArray();
        final Random random = new Random(Long.getLong("fennelstage.odd.seed", 1));
        for (int i = 0; i < Integer.getInteger("fennelstage.odd.tries", 20_000); i++) {
            final byte[] odd = sound.clone();
            for (int flips = 1 + random.nextInt(3); flips > 0; flips--) {
                odd[random.nextInt(odd.length)] ^= (byte) (1 << random.nextInt(8));
            }
            assertThatCode(() -> decode(odd))
                    .as(ByteString.copyFrom(odd).toString())
                    .doesNotThrowAnyException();
        }
    }

    private static void decode(final byte[] bytes) {
        try {
            final Envelope message = Envelope.parseFrom(bytes);
            PeerCodec.decode(message.getProbe().getMembersList());
            PeerCodec.decode(message.getObjects());
        } catch (final InvalidProtocolBufferException e) {
            // The connection is closed and opened again by its sender.
        }
    }
}
