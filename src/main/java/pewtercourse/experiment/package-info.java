/** Measurements and simulations on a virtual clock for the {@code experiment} command. Only the tools jar contains them. */
package pewtercourse.experiment;
