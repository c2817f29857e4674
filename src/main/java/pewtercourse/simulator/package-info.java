/** Runs the routing engine behind the line protocol of the simulator. */
package pewtercourse.simulator;
