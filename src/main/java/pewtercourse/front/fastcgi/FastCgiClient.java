package pewtercourse.front.fastcgi;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import java.util.Map;

/** Asks a FastCGI server once, as a front would, on a connection of its own. */
public final class FastCgiClient {
    private FastCgiClient() { }

    /** The CGI response: head and body. */
    public static Future<Buffer> ask(Vertx vertx, SocketAddress server, Map<String, String> params) {
        return vertx.createNetClient().connect(server).compose(socket -> {
            Promise<Buffer> answer = Promise.promise();
            Buffer out = Buffer.buffer();
            RecordReader reader = new RecordReader();
            socket.closeHandler(v -> answer.tryFail("closed"));
            socket.handler(bytes -> {
                reader.add(bytes);
                try {
                    for (Record r = reader.next(); r != null; r = reader.next()) {
                        if (r.type() == Record.STDOUT) {
                            out.appendBuffer(r.content());
                        } else if (r.type() == Record.END) {
                            answer.tryComplete(out);
                            socket.close();
                        }
                    }
                } catch (MalformedRecordException e) {
                    answer.tryFail(e);
                }
            });
            socket.write(Record.encode(Record.BEGIN, 1, Buffer.buffer(new byte[] {0, 1, 1, 0, 0, 0, 0, 0})));
            socket.write(Record.encode(Record.PARAMS, 1, Record.pairs(params)));
            socket.write(Record.encode(Record.PARAMS, 1, Buffer.buffer()));
            socket.write(Record.encode(Record.STDIN, 1, Buffer.buffer()));
            return answer.future();
        });
    }
}
