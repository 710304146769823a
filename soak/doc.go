// Package soak runs the real programs as separate processes on loopback, injects
// faults from outside and checks the fleet's guarantees by what callers and targets
// observe. The seed alone determines the plan of faults, but not how the processes
// react to it.
//
// Clocks are not stepped, since the soak lacks the privileges for it. Processes
// that were paused with SIGSTOP see time jump.
package soak
