/**
 * Emulates sites of caches, a control feed and clients on loopback sockets to test real directors with; the simulations
 * use its models, too.
 */
package pewtercourse.emulator;
