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

/** An idle event loop blocks until its next timer is due, instead of waking up early and spinning. */
@Timeout(60)
class PunctualIoTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, PunctualIo.newFactory());

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** The context of an event loop with one timer and no other task. */
    private record SingleTimerContext(long dueNs) implements IoHandlerContext {
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
    void runDoesNotReturnBeforeTheTimerIsDue() {
        IoHandler io = PunctualIo.newFactory().newHandler(group.next());
        io.initialize();
        for (int tenths = 1; tenths < 30; tenths++) {
            long dueNs = System.nanoTime() + 100_000L * tenths;
            assertEquals(0, io.run(new SingleTimerContext(dueNs)));
            long remainingNs = dueNs - System.nanoTime();
            assertTrue(remainingNs <= 0,
                    "returned " + remainingNs + " ns before the timer after " + tenths + " tenths of a ms");
        }
        io.prepareToDestroy();
        io.destroy();
    }
}
