// Package fallback decides what happens to a request that no target in rotation
// accepted: whether it waits, where it queues, and when it is rejected.
//
// It answers two load patterns. At a crest, or when a third of the targets of a service
// fail at once, every healthy target refuses work that would miss its objective. Sending
// such work to a failing target instead makes it fail, uses up the retry budget, and fails
// the run that called for it; so it queues at the healthy target with the shortest queue,
// late but within its deadline. When all targets fail, a short wait often ends with one
// that has recovered; only then the request goes to a failing target. Called work, whose
// rejection would waste the run that waits for it, goes there as well when no healthy target
// can serve it in time.
//
// Rejected callers return in the order in which they arrived, spread over the time in
// which room is expected.
//
// It imports nothing else of this module.
package fallback
