package pewtercourse.admin;

/** A complete HTTP call of an operator. */
record AdminCall(String method, String path, String body) {}
