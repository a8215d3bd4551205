package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

/** Reading the system's limit of open files, and how it bounds the configured number of sockets. */
class DescriptorLimitTest {
    private static int maxOpenFiles(String... lines) {
        return DescriptorLimit.maxOpenFiles(Stream.of(lines));
    }

    @Test
    void softLimitIsUsed() {
        assertEquals(256, maxOpenFiles(
                "Limit                     Soft Limit           Hard Limit           Units",
                "Max processes             95                   95                   processes",
                "Max open files            256                  4096                 files"));
    }

    @Test
    void unlimitedOrUnknownLimitIsTheLargestInt() {
        assertEquals(Integer.MAX_VALUE, maxOpenFiles("Max open files  unlimited  unlimited  files"));
        assertEquals(Integer.MAX_VALUE, maxOpenFiles("Max open files"));
        assertEquals(Integer.MAX_VALUE, maxOpenFiles());
    }

    @Test
    void limitTooLowToServeAClientIsIgnored() throws Exception {
        try (FakePeer discovery = new FakePeer(FakePeer.SILENT)) {
            Config config = Config.parse(Fixture.config(discovery).toString(), Map.of());
            assertEquals(config.maxDescriptors(),
                    config.withDescriptorLimit(SocketLimiter.RESERVED_DESCRIPTORS + 1).maxDescriptors());
            assertEquals(SocketLimiter.RESERVED_DESCRIPTORS + 2,
                    config.withDescriptorLimit(SocketLimiter.RESERVED_DESCRIPTORS + 2).maxDescriptors());
        }
    }

    @Test
    void lowerOfSystemAndConfiguredLimitApplies() throws Exception {
        try (FakePeer discovery = new FakePeer(FakePeer.SILENT)) {
            Config config = Config.parse(Fixture.config(discovery).toString(), Map.of());
            assertEquals(100, config.withDescriptorLimit(100).maxDescriptors());
            assertEquals(config.maxDescriptors(),
                    config.withDescriptorLimit(Integer.MAX_VALUE).maxDescriptors());
        }
        assertTrue(DescriptorLimit.maxOpenFiles() > 0);
    }
}
