// Package transfer observes calls whose responses may be large, and bounds the time for
// which they make no progress instead of their whole time. It answers slow links and large
// documents: a limit for the whole ends a transfer that would succeed, and its repetition
// loads the link of the next one.
//
// It belongs to the I/O layers and reads the clock, unlike the decision packages beside it.
//
// It imports nothing else of this module.
package transfer
