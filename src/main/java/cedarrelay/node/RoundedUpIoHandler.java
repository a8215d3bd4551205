package cedarrelay.node;

import java.util.concurrent.TimeUnit;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;

/**
 * Netty's NIO handler with the wait for the next timer rounded up to whole milliseconds. Netty rounds it to
 * the nearest millisecond, so the event loop can wake up to half a millisecond early and then spins until the
 * timer is due. On a node with queued requests, with a timer every few milliseconds, this wastes CPU time.
 */
final class RoundedUpIoHandler extends DelegatingIoHandler {
    /** With the half millisecond that Netty adds, this rounds a part of a millisecond up to a whole one. */
    private static final long ROUND_UP_NS = TimeUnit.MILLISECONDS.toNanos(1) / 2 - 1;

    private RoundedUpIoHandler(IoHandler delegate) {
        super(delegate);
    }

    /** Returns a factory for {@code MultiThreadIoEventLoopGroup}, in place of {@link NioIoHandler}'s own. */
    static IoHandlerFactory newFactory() {
        IoHandlerFactory factory = NioIoHandler.newFactory();
        return executor -> new RoundedUpIoHandler(factory.newHandler(executor));
    }

    @Override
    public int run(IoHandlerContext context) {
        return delegate.run(new RoundedUpContext(context));
    }

    /** The event loop's context, with a longer delay to a timer that is not due yet. */
    private record RoundedUpContext(IoHandlerContext delegate) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long nowNs) {
            long delayNs = delegate.delayNanos(nowNs);
            return delayNs <= 0 || delayNs > Long.MAX_VALUE - ROUND_UP_NS ? delayNs
                    : delayNs + ROUND_UP_NS;
        }

        @Override
        public long deadlineNanos() {
            return delegate.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long ns) {
            delegate.reportActiveIoTime(ns);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return delegate.shouldReportActiveIoTime();
        }
    }
}
