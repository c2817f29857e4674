/**
 * The operators' address: plain HTTP calls that show a director's state, take caches out of rotation and put it on
 * standby.
 */
package pewtercourse.admin;
