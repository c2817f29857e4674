/** Hosts the decisions on the wire of the simulator. */
package pewtercourse.simulator;
