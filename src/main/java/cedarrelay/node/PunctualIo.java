package cedarrelay.node;

import java.util.concurrent.TimeUnit;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;

/**
 * Netty's NIO handler with its waits rounded up. Netty rounds the time to the next timer to whole
 * milliseconds: woken up to half of one too early, the loop turns without waiting until the timer is due. On
 * a node whose requests wait, with a timer every few milliseconds, that takes processor time from the work.
 */
final class PunctualIo implements IoHandler {
    /** With Netty's own half, what is left of a millisecond counts as a whole one. */
    private static final long ROUNDED_UP_NS = TimeUnit.MILLISECONDS.toNanos(1) / 2 - 1;

    private final IoHandler nio;

    private PunctualIo(IoHandler nio) {
        this.nio = nio;
    }

    static IoHandlerFactory newFactory() {
        IoHandlerFactory factory = NioIoHandler.newFactory();
        return executor -> new PunctualIo(factory.newHandler(executor));
    }

    @Override
    public int run(IoHandlerContext context) {
        return nio.run(new Rounded(context));
    }

    @Override
    public void initialize() {
        nio.initialize();
    }

    @Override
    public void prepareToDestroy() {
        nio.prepareToDestroy();
    }

    @Override
    public void destroy() {
        nio.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return nio.register(handle);
    }

    @Override
    public void wakeup() {
        nio.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return nio.isCompatible(type);
    }

    /** The loop's own answers, but that a timer not yet due is further off. */
    private record Rounded(IoHandlerContext loop) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return loop.canBlock();
        }

        @Override
        public long delayNanos(long nowNs) {
            long delayNs = loop.delayNanos(nowNs);
            return delayNs <= 0 || delayNs > Long.MAX_VALUE - ROUNDED_UP_NS ? delayNs
                    : delayNs + ROUNDED_UP_NS;
        }

        @Override
        public long deadlineNanos() {
            return loop.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long ns) {
            loop.reportActiveIoTime(ns);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return loop.shouldReportActiveIoTime();
        }
    }
}
