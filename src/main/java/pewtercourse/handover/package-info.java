/** What one process of a director leaves to the next: an inherited listening socket and the operators' state. */
package pewtercourse.handover;
