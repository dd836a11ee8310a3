package org.fennelstage.peer;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
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

    private static final System.Logger LOG = System.getLogger(PeerCodec.class.getName());
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

    /** Returns the members, without malformed ones: one of them must not hide the others. */
    static List<Member> decode(final List<MemberInfo> infos) {
        return wellFormed(infos, PeerCodec::decode);
    }

    private static <T, R> List<R> wellFormed(final List<T> messages, final Function<T, R> decode) {
        final List<R> decoded = new ArrayList<>();
        for (final T message : messages) {
            try {
                decoded.add(decode.apply(message));
            } catch (final IllegalArgumentException e) {
                LOG.log(System.Logger.Level.WARNING, "malformed part of a peer message", e);
            }
        }
        return List.copyOf(decoded);
    }

    /** Returns an entry by its number; newer versions of this program may have more entries. */
    private static <T> T entry(final T[] entries, final int number) {
        return entries[Math.max(0, Math.min(number, entries.length - 1))];
    }

    private static Member decode(final MemberInfo info) {
        return new Member(
                VmId.of(info.getId()),
                DataCentreId.of(info.getDataCentre()),
                info.getHost(),
                info.getPort(),
                info.getIncarnation(),
                entry(MEMBER_STATES, info.getState()));
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
        return wellFormed(message.getObjectsList(), PeerCodec::decode);
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
            final Signal signal = entry(SIGNALS, halt.getSignal());
            for (final RolloutId rollout : wellFormed(List.of(halt.getRollout()), RolloutId::of)) {
                changed |= table.add(rollout, signal);
            }
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
