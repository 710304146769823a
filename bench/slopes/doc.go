// Package slopes fits lines to the results of benchmarks that run at several sizes
// and extrapolates to other sizes. It reads the output of go test -bench, in which
// the last element of a benchmark's name states the size, such as nodes=790.
//
// It imports nothing of this module.
package slopes
