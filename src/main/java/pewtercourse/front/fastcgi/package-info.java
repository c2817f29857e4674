/** FastCGI, the protocol that the web servers in front of the director use. */
package pewtercourse.front.fastcgi;
