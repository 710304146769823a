// Package health detects failing targets, and failing paths to their gates, from
// the evidence that one entry has: traffic first, probes second, endpoint hints
// last. It ejects failing targets, which then get trickle traffic only, but never
// so many that a service falls below its floor. Targets return when their trickle
// requests succeed.
//
// Evidence is a log-likelihood ratio between "the target is failing" and "the
// target behaves like its peers". Each request adds its ratio to a cumulative sum
// (CUSUM) that does not fall below zero; a sum above the threshold ejects the
// target. Requests in progress count by their age before they end. Evidence that
// most peers show too is discounted.
//
// Of this module it imports only request packages.
package health
