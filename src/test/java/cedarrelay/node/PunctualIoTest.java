package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A loop with nothing to do waits for its next timer, and does not turn until it is due. */
@Timeout(60)
class PunctualIoTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, PunctualIo.newFactory());

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** A loop that has one timer and nothing else. */
    private record Timer(long dueNs) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return true;
        }

        @Override
        public long delayNanos(long nowNs) {
            return Math.max(0, dueNs - nowNs);
        }

        @Override
        public long deadlineNanos() {
            return dueNs;
        }
    }

    @Test
    void aTurnDoesNotEndBeforeTheTimerIsDue() {
        IoHandler io = PunctualIo.newFactory().newHandler(group.next());
        io.initialize();
        for (int tenths = 1; tenths < 30; tenths++) {
            long dueNs = System.nanoTime() + 100_000L * tenths;
            assertEquals(0, io.run(new Timer(dueNs)));
            long leftNs = dueNs - System.nanoTime();
            assertTrue(leftNs <= 0, "turned " + leftNs + " ns before the timer " + tenths + " tenths off");
        }
        io.prepareToDestroy();
        io.destroy();
    }
}
