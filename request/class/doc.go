// Package class finds the route of a request, which gives its service and class,
// and learns from durations which paths of a route are long work.
//
// It imports nothing else of this module.
package class
