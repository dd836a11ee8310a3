package org.fennelstage.peer;

import java.util.function.Consumer;
import org.fennelstage.peer.generated.Envelope;

/** Processes messages from other VMs. Called on an event loop; must not block. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Processes one message.
     *
     * @param message the message
     * @param reply sends a reply; ignored if the sender expects none
     */
    void handle(Envelope message, Consumer<Envelope.Builder> reply);
}
