// Package rapidtest is the TestMain of packages with property tests.
//
// It imports only the standard library.
package rapidtest
