package pewtercourse.front;

import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import org.junit.jupiter.api.Test;

class FrontTransportTest {
    // The listener once went to the first server of all, which in a cluster is the server for the members.
    @Test
    void onlyTheNextServerGetsTheListener() {
        LimitedListener listener = new LimitedListener(1);
        FrontTransport transport = new FrontTransport(listener);
        ChannelFactory<? extends ServerChannel> serverChannels =
                transport.implementation().serverChannelFactory(false);
        ServerChannel serverBefore = serverChannels.newChannel();
        assertNotSame(listener, serverBefore);
        transport.useListenerForNextServer();
        assertSame(listener, serverChannels.newChannel());
        ServerChannel serverAfter = serverChannels.newChannel();
        assertNotSame(listener, serverAfter);
        serverBefore.unsafe().closeForcibly();
        serverAfter.unsafe().closeForcibly();
        listener.unsafe().closeForcibly();
    }
}
