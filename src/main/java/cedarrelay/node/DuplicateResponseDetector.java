package cedarrelay.node;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Recognizes a late duplicate of the previous response on a connection, which would otherwise be taken for
 * the response to the next request. A response carries nothing of its request but its body; so a body that
 * equals the previous one is evidence only while the bodies of all recent responses, of any server, were
 * different.
 */
final class DuplicateResponseDetector {
    /** Different responses in a row from which on equal ones are taken for duplicates. */
    static final int MIN_DIFFERENT_RESPONSES = 256;
    private static final String DIGEST_ALGORITHM = "SHA-256";

    private final MessageDigest digest = newDigest();
    private final Runnable onDuplicate;
    /** Digests of the latest responses, newest last. */
    private final Set<ByteBuffer> recentDigests = new LinkedHashSet<>();
    /** Latest responses that were all different. */
    private int differentInARow;

    /** Creates a detector; {@code onDuplicate} runs for each duplicate. */
    DuplicateResponseDetector(Runnable onDuplicate) {
        this.onDuplicate = onDuplicate;
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(DIGEST_ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has " + DIGEST_ALGORITHM, e);
        }
    }

    /** The digest that stands for the content of a response. */
    ByteBuffer digestOf(ServerResponse response) {
        return ByteBuffer.wrap(digest.digest(response.body()));
    }

    /**
     * Whether a response is a duplicate of the previous one on its connection. If it is not, it counts as a
     * response.
     *
     * @param previous digest of the previous response on the connection, or null
     */
    boolean isDuplicate(ByteBuffer previous, ByteBuffer current) {
        if (differentInARow >= MIN_DIFFERENT_RESPONSES && current.equals(previous)) {
            onDuplicate.run();
            return true;
        }
        differentInARow = recentDigests.add(current) ? differentInARow + 1 : 0;
        if (recentDigests.size() > MIN_DIFFERENT_RESPONSES) {
            Iterator<ByteBuffer> oldest = recentDigests.iterator();
            oldest.next();
            oldest.remove();
        }
        return false;
    }

    /** Notes that no other response followed what was taken for a duplicate: it may have been none. */
    void onNoOtherResponse() {
        differentInARow = 0;
    }
}
