package org.fennelstage.peer;

import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.VmId;
import org.fennelstage.member.Member;
import org.fennelstage.peer.generated.ConfigurationObject;
import org.fennelstage.peer.generated.Halt;
import org.fennelstage.peer.generated.Halts;
import org.fennelstage.peer.generated.MemberInfo;
import org.fennelstage.peer.generated.Objects;
import org.fennelstage.rollout.HaltTable;
import org.fennelstage.rollout.Signal;

/** Converts core types to and from peer messages. Stateless and thread-safe. */
final class PeerCodec {

    private static final Member.State[] MEMBER_STATES = Member.State.values();
    private static final Signal[] SIGNALS = Signal.values();

    private PeerCodec() {}

    static MemberInfo encode(final Member member) {
        return MemberInfo.newBuilder()
                .setId(member.id().value())
                .setDataCentre(member.dataCentre().value())
                .setHost(member.host())
                .setPort(member.port())
                .setIncarnation(member.incarnation())
                .setState(member.state().ordinal())
                .build();
    }

    static Member decode(final MemberInfo info) {
        return new Member(
                VmId.of(info.getId()),
                DataCentreId.of(info.getDataCentre()),
                info.getHost(),
                info.getPort(),
                info.getIncarnation(),
                MEMBER_STATES[Math.min(info.getState(), MEMBER_STATES.length - 1)]);
    }

    static Objects encode(final Collection<StoredObject> objects) {
        final Objects.Builder builder = Objects.newBuilder();
        for (final StoredObject object : objects) {
            builder.addObjects(
                    ConfigurationObject.newBuilder()
                            .setKey(object.key().path())
                            .setRevision(object.revision().value())
                            .setDeleted(object.value().isEmpty())
                            .setValue(
                                    object.value()
                                            .map(ByteString::copyFrom)
                                            .orElse(ByteString.EMPTY)));
        }
        return builder.build();
    }

    static List<StoredObject> decode(final Objects message) {
        return message.getObjectsList().stream().map(PeerCodec::decode).toList();
    }

    static Halts encode(final HaltTable table) {
        final Halts.Builder builder = Halts.newBuilder();
        table.all()
                .forEach(
                        (rollout, signal) ->
                                builder.addHalts(
                                        Halt.newBuilder()
                                                .setRollout(rollout.value())
                                                .setSignal(signal.ordinal())));
        return builder.build();
    }

    static boolean merge(final Halts message, final HaltTable table) {
        boolean changed = false;
        for (final Halt halt : message.getHaltsList()) {
            final Signal signal = SIGNALS[Math.min(halt.getSignal(), SIGNALS.length - 1)];
            changed |= table.add(RolloutId.of(halt.getRollout()), signal);
        }
        return changed;
    }

    private static StoredObject decode(final ConfigurationObject object) {
        final Optional<byte[]> value =
                object.getDeleted()
                        ? Optional.empty()
                        : Optional.of(object.getValue().toByteArray());
        return new StoredObject(
                new ObjectKey(object.getKey()), Revision.of(object.getRevision()), value);
    }
}
