package cedarrelay.node;

/**
 * Limits the memory taken by requests over all connections: those being read, those waiting for their turn
 * and the pending ones. Each may be small, but hundreds of them can exceed the heap.
 */
final class InHand {
    /** Memory of the objects that represent a request, besides its head and body. */
    private static final int REQUEST_OVERHEAD_BYTES = 2_048;
    /** Parsed headers take this many times their size on the wire. */
    private static final int HEADER_OVERHEAD_FACTOR = 4;

    private final long maxBytes;
    private long usedBytes;

    /** Creates a limit of this many bytes. */
    InHand(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Allows a part of the heap: responses, the decision module and uncollected garbage need the rest. */
    static InHand partOfHeap() {
        return new InHand(Runtime.getRuntime().maxMemory() / 4);
    }

    /** The estimated memory of a request in bytes, by the size of its head and body on the wire. */
    static long costOf(int headBytes, int bodyBytes) {
        return REQUEST_OVERHEAD_BYTES + (long) HEADER_OVERHEAD_FACTOR * headBytes + bodyBytes;
    }

    /** Reserves memory; returns false, and reserves none, if the limit would be exceeded. */
    boolean add(long addedBytes) {
        if (usedBytes + addedBytes > maxBytes) {
            return false;
        }
        usedBytes += addedBytes;
        return true;
    }

    /** Releases reserved memory. */
    void remove(long releasedBytes) {
        usedBytes -= releasedBytes;
    }
}
