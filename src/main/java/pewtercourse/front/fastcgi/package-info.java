/** FastCGI, the protocol of the web servers in front. */
package pewtercourse.front.fastcgi;
