// Package soak runs the real programs as separate processes on loopback, injects
// faults from outside and checks the fleet's promises by what callers and targets
// see. A plan follows from its seed alone; how the processes meet it does not.
//
// Clocks are not stepped: that takes rights that the soak does not have. Stopped
// processes see time jump.
package soak
