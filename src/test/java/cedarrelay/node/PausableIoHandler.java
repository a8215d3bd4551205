package cedarrelay.node;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;

/**
 * Netty's NIO handler with a hook between the handling of socket events and the event loop's timers. A hook
 * that blocks stands for a pause of the process at this point: what arrives meanwhile is still unread when
 * the timers run.
 */
final class PausableIoHandler implements IoHandler {
    private final IoHandler delegate;
    private final Runnable afterEvents;

    private PausableIoHandler(IoHandler delegate, Runnable afterEvents) {
        this.delegate = delegate;
        this.afterEvents = afterEvents;
    }

    /** Returns a factory of handlers that run the hook whenever they have handled at least one event. */
    static IoHandlerFactory newFactory(Runnable afterEvents) {
        IoHandlerFactory factory = NioIoHandler.newFactory();
        return executor -> new PausableIoHandler(factory.newHandler(executor), afterEvents);
    }

    @Override
    public int run(IoHandlerContext context) {
        int handledEvents = delegate.run(context);
        if (handledEvents > 0) {
            afterEvents.run();
        }
        return handledEvents;
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }
}
