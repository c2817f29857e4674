package pewtercourse.admin;

/**
 * The reply to a call: 2xx if it was carried out, 4xx or 5xx if not.
 *
 * @param allow the method that the path allows if the call had another one, or null
 */
record AdminReply(int status, String text, String allow) {
    /** Creates a reply without an Allow header. */
    static AdminReply of(int status, String text) {
        return new AdminReply(status, text, null);
    }
}
