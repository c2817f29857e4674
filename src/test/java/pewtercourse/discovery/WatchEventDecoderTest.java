package pewtercourse.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.Example;
import pewtercourse.decision.EndpointLifecycle;

class WatchEventDecoderTest {
    @Example
    void derivesTheIdFromTheHexadecimalDigitsOfTheName() {
        assertEquals(0x00c41f7aL, WatchEventDecoder.endpointId("s-00c41f7a"));
        assertEquals(0xb91d3ae5L, WatchEventDecoder.endpointId("s-B91D3AE5"));
    }

    @Example
    void decodesAListChangeAsAnEndpointUpdate() {
        WatchEvent event = WatchEventDecoder.decode("""
                {"n":41,"members":{"seq":7,"whole":false,"hosts":[{"host":"s-00c41f7a","dial":"10.1.0.9:8443",
                "site":"east","class":"std","block":2,"health":"Terminating","share":4,"born_ms":12}]}}""");

        WatchedEndpoint endpoint = assertInstanceOf(WatchEvent.EndpointUpdate.class, event)
                .endpoints()
                .get(0);
        assertEquals(EndpointLifecycle.DRAINING, endpoint.state());
        assertEquals(8443, endpoint.address().getPort());
        assertEquals(12, endpoint.startedMs());
    }

    @Example
    void decodesAPurgeWithoutAKeyAsAPurgeOfTheGroup() {
        WatchEvent event = WatchEventDecoder.decode("{\"n\":43,\"purge\":{\"group\":17,\"at\":1764576000480}}");

        WatchEvent.Purge purge = assertInstanceOf(WatchEvent.Purge.class, event);
        assertNull(purge.object());
        assertEquals(17, purge.group());
    }

    @Example
    void anEventOfAnUnknownKindKeepsItsNumber() {
        assertEquals(9, WatchEventDecoder.decode("{\"n\":9,\"news\":{}}").number());
    }

    @Example
    void anEventWithoutANumberIsMalformed() {
        assertThrows(MalformedEventException.class, () -> WatchEventDecoder.decode("{}"));
    }

    @Example
    void dataThatIsNotJsonIsMalformed() {
        assertThrows(MalformedEventException.class, () -> WatchEventDecoder.decode("{\"n\":1"));
    }
}
