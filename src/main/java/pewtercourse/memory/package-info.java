/** Bounds the bytes that a director holds for its clients and caches, whatever these do. */
package pewtercourse.memory;
