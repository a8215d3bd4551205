package cedarrelay.node;

import java.util.function.IntConsumer;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;

/**
 * Netty's NIO handler with a hook between the handling of socket events and the event loop's timers. A hook
 * that blocks stands for a pause of the process at this point: what arrives meanwhile is still unread when
 * the timers run.
 */
final class PausableIoHandler extends DelegatingIoHandler {
    private final IntConsumer afterRun;

    private PausableIoHandler(IoHandler delegate, IntConsumer afterRun) {
        super(delegate);
        this.afterRun = afterRun;
    }

    /** Returns a factory of handlers that run the hook whenever they have handled at least one event. */
    static IoHandlerFactory newFactory(Runnable afterEvents) {
        return newFactoryWithHookAfterEachRun(handledEvents -> {
            if (handledEvents > 0) {
                afterEvents.run();
            }
        });
    }

    /** Returns a factory of handlers that run the hook after each run, with the number of handled events. */
    static IoHandlerFactory newFactoryWithHookAfterEachRun(IntConsumer afterRun) {
        IoHandlerFactory factory = NioIoHandler.newFactory();
        return executor -> new PausableIoHandler(factory.newHandler(executor), afterRun);
    }

    @Override
    public int run(IoHandlerContext context) {
        int handledEvents = delegate.run(context);
        afterRun.accept(handledEvents);
        return handledEvents;
    }
}
