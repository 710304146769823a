// Package periodic repeats work at an interval.
//
// It imports only the standard library.
package periodic
