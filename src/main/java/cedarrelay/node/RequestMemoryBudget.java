package cedarrelay.node;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessageDecoderResult;

/**
 * Limits the memory taken by requests over all connections: those being read, those waiting for their turn
 * and the pending ones. Each may be small, but hundreds of them can exceed the heap. Where the memory runs
 * out, the unfinished request that takes most of it has to go, so that the requests of other clients keep
 * their place.
 */
final class RequestMemoryBudget {
    /** Memory of the objects that represent a request, besides its headers and body. */
    private static final int REQUEST_OVERHEAD_BYTES = 2_048;
    /** Memory of the objects that represent a header, besides its text: those of the parsed header, and those
     * of the copies that are made to forward it. */
    private static final int HEADER_OVERHEAD_BYTES = 256;
    /** Parts of a body that are kept apart; if there are more, all so far are copied into one. */
    static final int MAX_BODY_PARTS = 64;
    /** Memory of the objects that represent a part of a body, besides its bytes. */
    private static final int BODY_PART_OVERHEAD_BYTES = 256;

    private final long maxBytes;
    private long usedBytes;
    private final Set<Account> unfinishedAccounts = new LinkedHashSet<>();

    /** The memory taken by the requests of one connection. */
    final class Account {
        private final Runnable rejectUnfinished;
        /** Memory of the request that is being read. */
        private long unfinishedBytes;
        /** Memory of the requests that are waiting for their turn or pending. */
        private long completeBytes;

        private Account(Runnable rejectUnfinished) {
            this.rejectUnfinished = rejectUnfinished;
        }

        /**
         * Sets the memory of the request that is being read; 0 if there is none. Takes the memory from larger
         * unfinished requests of other connections if there is not enough.
         *
         * @return false if there is not enough nevertheless: the request has to be rejected
         */
        boolean setUnfinished(long bytes) {
            usedBytes += bytes - unfinishedBytes;
            unfinishedBytes = bytes;
            if (bytes == 0) {
                unfinishedAccounts.remove(this);
                return true;
            }
            unfinishedAccounts.add(this);
            return makeRoom(this);
        }

        /**
         * Adds the memory of a complete request, in the same way. If there is not enough, none is added.
         *
         * @return false if there is not enough: the request has to be rejected
         */
        boolean tryAddComplete(long bytes) {
            usedBytes += bytes;
            completeBytes += bytes;
            if (makeRoom(this)) {
                return true;
            }
            releaseComplete(bytes);
            return false;
        }

        /** Releases the memory of a complete request. */
        void releaseComplete(long bytes) {
            usedBytes -= bytes;
            completeBytes -= bytes;
        }

        /** Releases all memory of the connection. */
        void close() {
            setUnfinished(0);
            releaseComplete(completeBytes);
        }
    }

    /** Creates a budget of this many bytes. */
    RequestMemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Allows a quarter of the heap: responses, the decision module and uncollected garbage need the rest. */
    static RequestMemoryBudget fractionOfHeap() {
        return new RequestMemoryBudget(Runtime.getRuntime().maxMemory() / 4);
    }

    /**
     * Opens the account of a connection.
     *
     * @param rejectUnfinished rejects the request that is being read on the connection; it has to set its
     *         memory to 0
     */
    Account open(Runnable rejectUnfinished) {
        return new Account(rejectUnfinished);
    }

    /**
     * The estimated memory of a request in bytes, by what has been read of it.
     *
     * @param wireBytes its size on the wire
     */
    static long estimateBytes(int headerCount, int bodyPartCount, long wireBytes) {
        return REQUEST_OVERHEAD_BYTES + (long) HEADER_OVERHEAD_BYTES * headerCount
                + BODY_PART_OVERHEAD_BYTES * Math.min(bodyPartCount, MAX_BODY_PARTS) + wireBytes;
    }

    /** The estimated memory of a complete request in bytes. */
    static long estimateBytes(FullHttpRequest request) {
        int headBytes = request.decoderResult() instanceof HttpMessageDecoderResult decoded
                ? decoded.totalSize() : 0;
        int bodyPartCount = request.content() instanceof CompositeByteBuf body ? body.numComponents() : 1;
        return estimateBytes(request.headers().size(), bodyPartCount,
                headBytes + request.content().readableBytes());
    }

    /** Whether the memory in use is within the limit, once larger unfinished requests have been rejected. */
    private boolean makeRoom(Account requester) {
        while (usedBytes > maxBytes) {
            Optional<Account> largest = unfinishedAccounts.stream()
                    .max(Comparator.comparingLong(account -> account.unfinishedBytes));
            if (largest.isEmpty() || largest.get() == requester
                    || largest.get().unfinishedBytes <= requester.unfinishedBytes + requester.completeBytes) {
                return false;
            }
            largest.get().rejectUnfinished.run();
        }
        return true;
    }
}
