package org.fennelstage.store;

import java.util.List;
import java.util.Optional;
import org.fennelstage.history.Position;

/**
 * Keeps the texts of what a follower has read from the store. Confined to the follower's event
 * loop.
 */
public interface PageKeeper {

    /** Keeps nothing. */
    PageKeeper NONE =
            new PageKeeper() {
                @Override
                public void onList(final List<Optional<PageText>> pages, final Position position) {}

                @Override
                public void onChanges(final Page<?> changes) {}
            };

    /**
     * Receives a complete list.
     *
     * @param pages the texts of its pages, empty for a page whose text is unknown
     * @param position the position that it reflects
     */
    void onList(List<Optional<PageText>> pages, Position position);

    /**
     * Receives the changes since the last call, also if there are none.
     *
     * @param changes the changes
     */
    void onChanges(Page<?> changes);
}
