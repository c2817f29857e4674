/** Takes requests from clients, by whichever protocol, and their answers back; bounds on connections and shutdown. */
package pewtercourse.front;
