package org.fennelstage.peer;

import java.util.function.Consumer;
import org.fennelstage.peer.generated.Envelope;

/** Takes messages of other VMs. Called on an event loop; must not block. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Takes one message.
     *
     * @param message the message
     * @param reply sends an answer back; ignored if the sender wants none
     */
    void handle(Envelope message, Consumer<Envelope.Builder> reply);
}
