package org.fennelstage.http;

/**
 * Memory for bytes of remote ends that are kept until they are whole, shared by those who hold the
 * same instance.
 *
 * <p>Thread-safety is that of the implementation.
 */
public interface SharedMemory {

    /** Memory without a common limit; each message has its own. Thread-safe. */
    SharedMemory UNSHARED =
            new SharedMemory() {
                @Override
                public boolean tryTake(final long bytes) {
                    return true;
                }

                @Override
                public void giveBack(final long bytes) {}
            };

    /**
     * Takes a part of the memory.
     *
     * @param bytes the size of the part
     * @return false if not enough is left; nothing is taken then
     */
    boolean tryTake(long bytes);

    /**
     * Gives back what was taken.
     *
     * @param bytes the size
     */
    void giveBack(long bytes);
}
