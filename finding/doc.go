// Package finding collects the faults of input files with their file, line and key,
// so that all of them are reported together instead of one per run.
//
// It imports nothing else of this module.
package finding
