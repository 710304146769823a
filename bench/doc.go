// Package bench runs load and policy experiments. The policy cases drive the
// decision objects of the request, connection and version packages in virtual
// time with small models of targets and paths, so that a seed gives the same
// figures on each run. The overhead case measures whole processes over
// loopback sockets.
//
// It may import any other package of the module except those in cmd.
package bench
