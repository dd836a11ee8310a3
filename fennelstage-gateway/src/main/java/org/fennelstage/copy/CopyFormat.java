package org.fennelstage.copy;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.fennelstage.history.Position;
import org.fennelstage.http.HttpClient;
import org.fennelstage.store.PageText;
import org.fennelstage.store.StoreKind;

/**
 * The form of the store's lists, in which VMs give copies. Implementations are stateless and
 * thread-safe.
 */
public interface CopyFormat {

    /** Header of a call whose caller also accepts a copy; its value is {@link #ACCEPTED}. */
    String ACCEPT_COPY = "x-fennelstage-accept-copy";

    /** Value of {@link #ACCEPT_COPY}. */
    String ACCEPTED = "1";

    /** Header of a copy: the time since the store responded about its kind; milliseconds. */
    String COPY_AGE_MS = "x-fennelstage-copy-age-ms";

    /**
     * Returns the kind whose list a call requests from its beginning.
     *
     * @param target path and query of the call
     * @return the kind; empty for all other calls
     */
    Optional<StoreKind<?>> listedKind(String target);

    /**
     * Merges responses about one kind into one list.
     *
     * @param texts the pages of a list, followed by the changes since, in their order
     * @param position the position that they reflect together
     * @return the list as the store would return it, empty if a text is malformed
     */
    default Optional<PageText> merge(final List<PageText> texts, final Position position) {
        return merge(texts, position, name -> true);
    }

    /**
     * Merges responses about one kind into one list of some of the objects.
     *
     * @param texts the pages of a list, followed by the changes since, in their order
     * @param position the position that they reflect together
     * @param included returns whether the list contains the object of a name
     * @return the list, empty if a text is malformed
     */
    Optional<PageText> merge(List<PageText> texts, Position position, Predicate<String> included);

    /**
     * Returns the headers with which the store returns a list.
     *
     * @param position the position of the list
     * @return new headers
     */
    HttpHeaders headers(Position position);

    /**
     * Returns a source of copies.
     *
     * @param http makes the calls
     * @param vm the peer address of the VM that gives them
     * @return the source
     */
    CopySource sourceAt(HttpClient http, InetSocketAddress vm);
}
