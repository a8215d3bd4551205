package cedarrelay.node;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.zip.CRC32C;

/**
 * Recognizes a late duplicate of the previous response on a connection, which would otherwise be taken for
 * the response to the next request. A response carries nothing of its request but its body; so a body that
 * equals the previous one is evidence only while the bodies of all recent responses, of any server, were
 * different.
 */
final class DuplicateResponseDetector {
    /** Different responses in a row from which on equal ones are taken for duplicates. */
    static final int MIN_DIFFERENT_RESPONSES = 256;

    /** Stands for the content of a response; a checksum, as it is computed for each response. */
    record Digest(int length, long checksum) { }

    private final Runnable onDuplicate;
    /** Digests of the latest responses, newest last. */
    private final Set<Digest> recentDigests = new LinkedHashSet<>();
    /** Latest responses that were all different. */
    private int differentInARow;

    /** Creates a detector; {@code onDuplicate} runs for each duplicate. */
    DuplicateResponseDetector(Runnable onDuplicate) {
        this.onDuplicate = onDuplicate;
    }

    /** The digest of a response. */
    static Digest digestOf(ServerResponse response) {
        CRC32C checksum = new CRC32C();
        checksum.update(response.body());
        return new Digest(response.body().length, checksum.getValue());
    }

    /**
     * Whether a response is a duplicate of the previous one on its connection. If it is not, it counts as a
     * response.
     *
     * @param previous digest of the previous response on the connection, or null
     */
    boolean isDuplicate(Digest previous, Digest current) {
        if (differentInARow >= MIN_DIFFERENT_RESPONSES && current.equals(previous)) {
            onDuplicate.run();
            return true;
        }
        differentInARow = recentDigests.add(current) ? differentInARow + 1 : 0;
        if (recentDigests.size() > MIN_DIFFERENT_RESPONSES) {
            Iterator<Digest> oldest = recentDigests.iterator();
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
