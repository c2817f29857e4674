package pewtercourse.admin;

/** The answer to a call: 2xx is yes, 4xx and 5xx are no. {@code allow}: the right method, or null. */
record AdminReply(int status, String text, String allow) {
    static AdminReply of(int status, String text) {
        return new AdminReply(status, text, null);
    }
}
