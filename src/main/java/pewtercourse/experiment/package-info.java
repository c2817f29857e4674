/** Measurements and simulations on a virtual clock, run by {@code experiment}; only in the jar of tools. */
package pewtercourse.experiment;
