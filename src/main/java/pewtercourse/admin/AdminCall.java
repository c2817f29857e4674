package pewtercourse.admin;

/** One call, whole. */
record AdminCall(String method, String path, String body) {}
