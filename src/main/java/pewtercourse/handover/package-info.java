/**
 * Handover between two processes of a director during an upgrade: the listening socket, which both processes inherit
 * from the platform, and a small file with the state that operators have set.
 */
package pewtercourse.handover;
