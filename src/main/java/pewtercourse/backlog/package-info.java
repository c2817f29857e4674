/**
 * Plays clients that leave at their deadline against one director whose event loop falls behind, and judges what the caches
 * receive. Starts the director as a process.
 */
package pewtercourse.backlog;
