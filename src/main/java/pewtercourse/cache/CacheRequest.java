package pewtercourse.cache;

import io.vertx.core.buffer.Buffer;

/**
 * One attempt as it goes out. {@code source} null: no fill; {@code maxAgeMs} 0: as long as copies are fresh;
 * {@code known} null: no tag of the client's is passed on.
 */
public record CacheRequest(String id, String className, String object, int part, Buffer body, String source,
        int keep, long maxAgeMs, boolean join, boolean sourceHoldsOnly, boolean renew, String known) {

    String path() {
        return "/o/" + className + '/' + object + '/' + part;
    }

    String flags() {
        StringBuilder words = new StringBuilder();
        word(words, join, "wait-for");
        word(words, sourceHoldsOnly, "no-fetch");
        word(words, renew, "background");
        return words.toString();
    }

    private static void word(StringBuilder to, boolean set, String word) {
        if (set) {
            to.append(to.isEmpty() ? "" : "+").append(word);
        }
    }
}
