/**
 * The operators' HTTP interface: calls that show the state of a director, take caches out of rotation, put the director on
 * standby, reload its configuration and manage its cluster.
 */
package pewtercourse.admin;
