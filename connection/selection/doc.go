// Package selection chooses the target of each attempt, and with it the gate,
// from a deterministic subset of a service's targets. It takes the less loaded of
// two random targets, and prefers the entry's own failure domain unless others
// are sufficiently less loaded.
//
// It imports connection/health and request packages.
package selection
