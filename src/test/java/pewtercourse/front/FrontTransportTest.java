package pewtercourse.front;

import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import org.junit.jupiter.api.Test;

class FrontTransportTest {
    // It was the first server of all: where directors form a cluster that is the members', which is opened before.
    @Test
    void onlyTheClientsServerGetsTheGivenListener() {
        LimitedListener listener = new LimitedListener(1);
        FrontTransport transport = new FrontTransport(listener);
        ChannelFactory<? extends ServerChannel> servers =
                transport.implementation().serverChannelFactory(false);
        ServerChannel before = servers.newChannel();
        assertNotSame(listener, before);
        transport.frontNext();
        assertSame(listener, servers.newChannel());
        ServerChannel after = servers.newChannel();
        assertNotSame(listener, after);
        before.unsafe().closeForcibly();
        after.unsafe().closeForcibly();
        listener.unsafe().closeForcibly();
    }
}
