/**
 * Sites of caches, a control feed and clients on loopback, to try real directors against; the models also serve the
 * simulations.
 */
package pewtercourse.emulator;
