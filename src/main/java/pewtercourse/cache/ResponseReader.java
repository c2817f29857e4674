package pewtercourse.cache;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Reads one answer after the other off a connection, by the library's decoder. Guards against caches, or
 * whoever stands between, that send too little, too much or no end: an answer is whole only by its length or
 * its chunks, never because the connection ended, and nothing is held beyond the largest object.
 */
final class ResponseReader {
    static final int BODY_MOST = 240_000;
    private static final int HEAD_MOST = 8_192, LINE_MOST = 1_024, INTERIM_MOST = 16;
    private static final Pattern LINE_END = Pattern.compile("\r?\n"), LENGTH = Pattern.compile("[0-9]{1,9}");
    private static final UnpooledByteBufAllocator HEAP = new UnpooledByteBufAllocator(false);

    /**
     * Tells what the library's decoder passes over in silence: bytes behind the end of an answer, which it keeps
     * or skips, and lines of a head that are no fields, from which it makes some.
     */
    private static final class Decoder extends HttpResponseDecoder {
        private final StringBuilder head = new StringBuilder();
        private ByteBuf rest = Unpooled.EMPTY_BUFFER;
        private boolean body, last, behind, unreadable;

        Decoder() {
            super(LINE_MOST, HEAD_MOST, BODY_MOST);
        }

        // As the library's pipeline would, without one: a channel for each connection cost more than its decoder.
        List<Object> read(byte[] bytes) {
            rest = rest.isReadable()
                    ? HEAP.heapBuffer(rest.readableBytes() + bytes.length)
                            .writeBytes(rest)
                            .writeBytes(bytes)
                    : Unpooled.wrappedBuffer(bytes);
            List<Object> out = new ArrayList<>(4);
            try {
                for (int left = -1, had = 0;
                        rest.isReadable() && (left != rest.readableBytes() || had != out.size()); ) {
                    left = rest.readableBytes();
                    had = out.size();
                    decode(null, rest, out);
                }
            } catch (Exception e) {
                unreadable = true;
            }
            return out;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            int from = in.readerIndex();
            super.decode(ctx, in, out);
            if (!body) {
                head.append(in.toString(from, in.readerIndex() - from, StandardCharsets.ISO_8859_1));
            }
            for (Object o : out) {
                if (o instanceof HttpResponse r) {
                    unreadable |= !allFields(head);
                    head.setLength(0);
                    body = true;
                    last = r.status().code() / 100 != 1;
                }
                behind |= o instanceof LastHttpContent && last && in.isReadable();
                body &= !(o instanceof LastHttpContent);
            }
        }

        // Each line after the first up to the empty one is a name of token characters and a colon.
        private static boolean allFields(CharSequence head) {
            String[] lines = LINE_END.split(head.toString().strip());
            for (int i = 1; i < lines.length; i++) {
                int at = 0;
                while (at < lines[i].length()
                        && lines[i].charAt(at) > ' '
                        && lines[i].charAt(at) < 127
                        && "\"(),/:;<=>?@[\\]{}".indexOf(lines[i].charAt(at)) < 0) {
                    at++;
                }
                if (at == 0 || at == lines[i].length() || lines[i].charAt(at) != ':') {
                    return false;
                }
            }
            return true;
        }
    }

    private final Decoder answers = new Decoder();
    private HttpResponse head;
    private ByteBuf body;
    private String known, path, pathBefore, tagBefore;
    private int hashBefore;
    private int interim;
    private boolean clean = true;

    /** The next answer belongs to this request. */
    void expect(CacheRequest r) {
        known = r.known();
        pathBefore = path;
        path = r.path();
        head = null;
        body = null;
        interim = 0;
    }

    /** The answer once it is whole or can't be used any more; until then null. */
    CacheResponse add(Buffer bytes) {
        CacheResponse answer = null;
        for (Object o : answers.read(bytes.getBytes())) {
            if (answer == null) {
                answer = take((HttpObject) o);
            } else {
                clean = false;
            }
        }
        return answer == null && answers.unreadable ? broken() : answer;
    }

    /** Whether nothing came but the answers that were due, and the last one leaves the connection open. */
    boolean clean() {
        return clean && !answers.behind;
    }

    private CacheResponse take(HttpObject o) {
        if (o.decoderResult().isFailure() || answers.unreadable) {
            return broken();
        }
        if (o instanceof HttpResponse r) {
            if (!r.protocolVersion().text().startsWith("HTTP/1.")) {
                return broken();
            }
            if (r.status().code() / 100 == 1) {
                return ++interim > INTERIM_MOST ? broken() : null;
            }
            head = r;
            body = HEAP.heapBuffer(1_024);
            if (bytesOf(r) > BODY_MOST) {
                return broken();
            }
        }
        if (head != null && o instanceof HttpContent c) {
            if (body.readableBytes() + c.content().readableBytes() > BODY_MOST) {
                return broken();
            }
            body.writeBytes(c.content());
            return o instanceof LastHttpContent ? whole() : null;
        }
        return null;
    }

    /** How long the body says it is; past all bounds where it doesn't say, as then its end proves nothing. */
    private static long bytesOf(HttpResponse r) {
        String length = r.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        int code = r.status().code();
        if (code == 304 || code == 204 || length == null && HttpUtil.isTransferEncodingChunked(r)) {
            return 0;
        }
        return length != null && LENGTH.matcher(length).matches() ? Long.parseLong(length) : Long.MAX_VALUE;
    }

    private CacheResponse whole() {
        clean &= HttpUtil.isKeepAlive(head);
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        CacheResponse a = CacheResponse.decode(
                head.status().code(),
                "1".equals(head.headers().get("Never-Ran")),
                head.headers().get(HttpHeaderNames.CONTENT_LENGTH),
                Buffer.buffer(bytes),
                head.headers().get(HttpHeaderNames.ETAG),
                head.headers().get("Outcome"));
        // Nobody may be told that a copy holds that was not asked about.
        boolean wrongCopy = a.end() == AttemptResult.NOT_MODIFIED && (known == null || !known.equals(a.tag()));
        return wrongCopy || a.end() == AttemptResult.SERVED && repeated(a.tag(), bytes) ? broken() : a;
    }

    // A second copy of the last answer that came so late that its connection was in use again.
    private boolean repeated(String tag, byte[] bytes) {
        int hash = tag != null ? tag.hashCode() : Arrays.hashCode(bytes);
        boolean same = pathBefore != null
                && !pathBefore.equals(path)
                && bytes.length > 0
                && Objects.equals(tag, tagBefore)
                && hash == hashBefore;
        tagBefore = tag;
        hashBefore = hash;
        return same;
    }

    private CacheResponse broken() {
        clean = false;
        return CacheResponse.of(AttemptResult.MALFORMED);
    }
}
