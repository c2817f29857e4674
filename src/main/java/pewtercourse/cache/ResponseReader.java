package pewtercourse.cache;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
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
import io.vertx.core.internal.buffer.BufferInternal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Reads the HTTP responses of one connection, one after the other, with Netty's decoder. Guards against caches
 * and intermediaries that send too few bytes, too many or no end: a response is complete by its length or its
 * last chunk only, never because the connection ended, and a body larger than the largest object is rejected.
 * Confined to the event loop of its connection.
 */
final class ResponseReader {
    static final int MAX_BODY_BYTES = 240_000;
    private static final int MAX_HEAD_BYTES = 8_192;
    private static final int MAX_STATUS_LINE_BYTES = 1_024;
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final Pattern LINE_END = Pattern.compile("\r?\n");
    private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,9}");
    private static final UnpooledByteBufAllocator HEAP_ALLOCATOR = new UnpooledByteBufAllocator(false);

    /**
     * Notices two faults that Netty's decoder does not report: bytes after the end of a response, which it
     * keeps or skips, and lines of a head that are no header fields, which it turns into fields.
     */
    private static final class Decoder extends HttpResponseDecoder {
        private final StringBuilder rawHead = new StringBuilder();
        private ByteBuf unread = Unpooled.EMPTY_BUFFER;
        private boolean inBody;
        private boolean finalResponse;
        private boolean hasTrailingBytes;
        private boolean malformed;

        Decoder() {
            super(MAX_STATUS_LINE_BYTES, MAX_HEAD_BYTES, MAX_BODY_BYTES);
        }

        // Calls the decoder as Netty's pipeline does. A pipeline needs a channel for each connection, which
        // cost more than the decoder itself.
        List<Object> read(ByteBuf bytes) {
            unread = unread.isReadable()
                    ? HEAP_ALLOCATOR
                            .heapBuffer(unread.readableBytes() + bytes.readableBytes())
                            .writeBytes(unread)
                            .writeBytes(bytes)
                    : bytes;
            List<Object> parts = new ArrayList<>(4);
            try {
                for (int previousBytes = -1, previousParts = 0;
                        unread.isReadable()
                                && (previousBytes != unread.readableBytes() || previousParts != parts.size()); ) {
                    previousBytes = unread.readableBytes();
                    previousParts = parts.size();
                    decode(null, unread, parts);
                }
            } catch (Exception e) {
                malformed = true;
            }
            return parts;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> parts) throws Exception {
            int start = in.readerIndex();
            super.decode(ctx, in, parts);
            if (!inBody) {
                rawHead.append(in.toString(start, in.readerIndex() - start, StandardCharsets.ISO_8859_1));
            }
            for (Object part : parts) {
                if (part instanceof HttpResponse response) {
                    malformed |= !hasOnlyHeaderFields(rawHead);
                    rawHead.setLength(0);
                    inBody = true;
                    finalResponse = response.status().code() / 100 != 1;
                }
                hasTrailingBytes |= part instanceof LastHttpContent && finalResponse && in.isReadable();
                inBody &= !(part instanceof LastHttpContent);
            }
        }

        // Whether each line between the status line and the empty line starts with a field name (RFC 9110
        // token) and a colon.
        private static boolean hasOnlyHeaderFields(CharSequence rawHead) {
            String[] lines = LINE_END.split(rawHead.toString().strip());
            for (int i = 1; i < lines.length; i++) {
                int nameLength = 0;
                while (nameLength < lines[i].length()
                        && lines[i].charAt(nameLength) > ' '
                        && lines[i].charAt(nameLength) < 127
                        && "\"(),/:;<=>?@[\\]{}".indexOf(lines[i].charAt(nameLength)) < 0) {
                    nameLength++;
                }
                if (nameLength == 0 || nameLength == lines[i].length() || lines[i].charAt(nameLength) != ':') {
                    return false;
                }
            }
            return true;
        }
    }

    private final Decoder decoder = new Decoder();
    private HttpResponse head;
    private ResponseBody body;
    private String knownTag;
    private String path;
    private String previousPath;
    private String previousTag;
    private int previousHash;
    private int interimResponses;
    private boolean reusable = true;

    /** Prepares for the response to {@code request}, which is about to be sent. */
    void expectResponseTo(CacheRequest request) {
        knownTag = request.knownTag();
        previousPath = path;
        path = request.path();
        head = null;
        body = null;
        interimResponses = 0;
    }

    /** Reads the next bytes; returns the response once it is complete or found malformed, and null before that. */
    CacheResponse read(Buffer bytes) {
        CacheResponse response = null;
        for (Object part : decoder.read(((BufferInternal) bytes).getByteBuf())) {
            if (response == null) {
                response = readPart((HttpObject) part);
            } else {
                reusable = false;
            }
        }
        return response == null && decoder.malformed ? malformedResponse() : response;
    }

    /** Whether the head of the response has come, and the response is not complete. */
    boolean hasHead() {
        return body != null;
    }

    /** Bytes of memory that the response takes that is being read. */
    int heldBytes() {
        return body == null ? 0 : body.allocatedBytes();
    }

    /** Bytes of memory that it may take when it is complete. */
    int expectedBytes() {
        return Math.max(heldBytes(), body.expectedBytes(MAX_BODY_BYTES));
    }

    /**
     * Whether the connection may carry another request: nothing came but well-formed responses to the requests,
     * and the last one keeps the connection alive.
     */
    boolean isReusable() {
        return reusable && !decoder.hasTrailingBytes;
    }

    private CacheResponse readPart(HttpObject part) {
        if (part.decoderResult().isFailure() || decoder.malformed) {
            return malformedResponse();
        }
        if (part instanceof HttpResponse response) {
            if (!response.protocolVersion().text().startsWith("HTTP/1.")) {
                return malformedResponse();
            }
            if (response.status().code() / 100 == 1) {
                return ++interimResponses > MAX_INTERIM_RESPONSES ? malformedResponse() : null;
            }
            head = response;
            long declaredBytes = declaredBodyBytes(response);
            if (declaredBytes > MAX_BODY_BYTES) {
                return malformedResponse();
            }
            body = new ResponseBody((int) declaredBytes);
        }
        if (head != null && part instanceof HttpContent content) {
            if (body.length() + content.content().readableBytes() > MAX_BODY_BYTES) {
                return malformedResponse();
            }
            body.append(content.content());
            return part instanceof LastHttpContent ? completeResponse() : null;
        }
        return null;
    }

    /**
     * Length of the body as its head declares it, and 0 if it has none or comes in chunks. Without a valid
     * length it is {@code Long.MAX_VALUE}, which is rejected: only the end of the connection would end the
     * body, and that proves nothing.
     */
    private static long declaredBodyBytes(HttpResponse response) {
        String length = response.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        int code = response.status().code();
        if (code == 304 || code == 204 || length == null && HttpUtil.isTransferEncodingChunked(response)) {
            return 0;
        }
        return length != null && CONTENT_LENGTH.matcher(length).matches() ? Long.parseLong(length) : Long.MAX_VALUE;
    }

    private CacheResponse completeResponse() {
        reusable &= HttpUtil.isKeepAlive(head);
        Buffer content = body.toBuffer();
        body = null;
        CacheResponse response = CacheResponse.decode(
                head.status().code(),
                "1".equals(head.headers().get("Never-Ran")),
                head.headers().get(HttpHeaderNames.CONTENT_LENGTH),
                content,
                head.headers().get(HttpHeaderNames.ETAG),
                head.headers().get("Outcome"));
        // A 304 counts only for the tag that the request named: it must not confirm any other copy.
        boolean confirmsOtherCopy = response.result() == AttemptResult.NOT_MODIFIED
                && (knownTag == null || !knownTag.equals(response.tag()));
        return confirmsOtherCopy
                        || response.result() == AttemptResult.SERVED && repeatsPreviousResponse(response.tag(), content)
                ? malformedResponse()
                : response;
    }

    // Whether this is a second copy of the previous response, which came so late that its connection was in use
    // again: the content is the same though the request was for another path.
    private boolean repeatsPreviousResponse(String tag, Buffer content) {
        int hash = tag != null ? tag.hashCode() : ByteBufUtil.hashCode(((BufferInternal) content).getByteBuf());
        boolean repeats = previousPath != null
                && !previousPath.equals(path)
                && content.length() > 0
                && Objects.equals(tag, previousTag)
                && hash == previousHash;
        previousTag = tag;
        previousHash = hash;
        return repeats;
    }

    private CacheResponse malformedResponse() {
        reusable = false;
        body = null;
        return CacheResponse.of(AttemptResult.MALFORMED);
    }
}
