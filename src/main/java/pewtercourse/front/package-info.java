/** Receives the requests of clients over any protocol and returns the answers; limits connections and drains them. */
package pewtercourse.front;
