package cedarrelay.node;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoRegistration;

/** An I/O handler that passes all calls on to another one, except for {@link #run}. */
abstract class DelegatingIoHandler implements IoHandler {
    /** The handler to which the calls are passed on. */
    protected final IoHandler delegate;

    /** Creates a handler that passes its calls on to this one. */
    protected DelegatingIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    @Override
    public final void initialize() {
        delegate.initialize();
    }

    @Override
    public final void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public final void destroy() {
        delegate.destroy();
    }

    @Override
    public final IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public final void wakeup() {
        delegate.wakeup();
    }

    @Override
    public final boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }
}
