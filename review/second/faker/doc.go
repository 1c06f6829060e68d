// Command faker plays the cases of a review against entry nodes that run as separate
// processes: it holds the platform's store, the backend servers and the clients, starts the
// nodes, and exits with 1 if the case's rule was broken, with 0 if it held and with 2 if the case
// could not run.
package main
