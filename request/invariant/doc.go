// Package invariant names the properties that must always hold, and defines the
// interface through which decision code reports each check of them.
//
// It imports nothing else of this module.
package invariant
