package pewtercourse.front.fastcgi;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.Map;

/** Asks a FastCGI server, as a front would, one request after the other on a connection that is kept. */
public final class FastCgiClient {
    private final NetSocket socket;
    private final RecordReader reader = new RecordReader();
    private Promise<Buffer> answer = Promise.promise();
    private Buffer out = Buffer.buffer();
    private boolean closed;

    private FastCgiClient(NetSocket socket) {
        this.socket = socket;
        socket.closeHandler(v -> {
            closed = true;
            answer.tryFail("closed");
        });
        socket.handler(this::read);
    }

    public static Future<FastCgiClient> connect(Vertx vertx, SocketAddress server) {
        return vertx.createNetClient().connect(server).map(FastCgiClient::new);
    }

    private void read(Buffer bytes) {
        reader.add(bytes);
        try {
            for (Record r = reader.next(); r != null; r = reader.next()) {
                if (r.type() == Record.STDOUT) {
                    out.appendBuffer(r.content());
                } else if (r.type() == Record.END) {
                    answer.tryComplete(out);
                }
            }
        } catch (MalformedRecordException e) {
            answer.tryFail(e);
        }
    }

    /** The CGI response: head and body. Only one may be asked for at a time. */
    public Future<Buffer> ask(Map<String, String> params) {
        if (closed) {
            return Future.failedFuture("closed");
        }
        answer = Promise.promise();
        out = Buffer.buffer();
        socket.write(Record.encode(Record.BEGIN, 1, Buffer.buffer(new byte[] {0, 1, 1, 0, 0, 0, 0, 0})));
        socket.write(Record.encode(Record.PARAMS, 1, Record.pairs(params)));
        socket.write(Record.encode(Record.PARAMS, 1, Buffer.buffer()));
        socket.write(Record.encode(Record.STDIN, 1, Buffer.buffer()));
        return answer.future();
    }

    public void close() {
        socket.close();
    }
}
