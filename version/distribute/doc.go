// Package distribute decides how the configuration reaches a node: which nodes
// read the log, which peers a node forwards records to, how it fills gaps, where a
// new node gets its first state and which node writes snapshots. A log service that
// turns some nodes away and serves others must not leave these duties undone, so a
// node that cannot use it gives them up. The package is deterministic: time and randomness come from the caller. process/control runs its
// actions.
//
// It imports eventlog, request packages and version/config.
package distribute
