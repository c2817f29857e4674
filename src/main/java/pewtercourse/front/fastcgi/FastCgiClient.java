package pewtercourse.front.fastcgi;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.Map;

/** Sends requests to a FastCGI server as a web server does, one at a time on a kept connection. */
public final class FastCgiClient {
    /** Kept, because the library closes the connections of a client that is not referenced any more. */
    private final NetClient client;

    private final NetSocket socket;
    private final RecordReader reader = new RecordReader();
    private Promise<Buffer> answer = Promise.promise();
    private Buffer response = Buffer.buffer();
    private boolean closed;

    private FastCgiClient(NetClient client, NetSocket socket) {
        this.client = client;
        this.socket = socket;
        socket.closeHandler(closing -> {
            closed = true;
            answer.tryFail("closed");
        });
        socket.handler(this::read);
    }

    /** Connects to a server. */
    public static Future<FastCgiClient> connect(Vertx vertx, SocketAddress server) {
        NetClient client = vertx.createNetClient();
        return client.connect(server).map(socket -> new FastCgiClient(client, socket));
    }

    private void read(Buffer bytes) {
        reader.add(bytes);
        try {
            for (Record record = reader.next(); record != null; record = reader.next()) {
                if (record.type() == Record.STDOUT) {
                    response.appendBuffer(record.content());
                } else if (record.type() == Record.END) {
                    answer.tryComplete(response);
                }
            }
        } catch (MalformedRecordException e) {
            answer.tryFail(e);
        }
    }

    /** Sends a request; completes with the CGI response, head and body. Only one request may be open at a time. */
    public Future<Buffer> send(Map<String, String> params) {
        if (closed) {
            return Future.failedFuture("closed");
        }
        answer = Promise.promise();
        response = Buffer.buffer();
        Buffer records = Buffer.buffer()
                .appendBuffer(Record.encode(Record.BEGIN, 1, Buffer.buffer(new byte[] {0, 1, 1, 0, 0, 0, 0, 0})))
                .appendBuffer(Record.encode(Record.PARAMS, 1, Record.pairs(params)))
                .appendBuffer(Record.encode(Record.PARAMS, 1, Buffer.buffer()))
                .appendBuffer(Record.encode(Record.STDIN, 1, Buffer.buffer()));
        socket.write(records);
        return answer.future();
    }

    /** Withdraws the open request; its answer is what the server sends before it ends the request. */
    public void abort() {
        socket.write(Record.encode(Record.ABORT, 1, Buffer.buffer()));
    }

    /** Whether the connection has ended. */
    public boolean isClosed() {
        return closed;
    }

    /** Closes the connection. */
    public void close() {
        socket.close();
        client.close();
    }
}
