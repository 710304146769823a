// Package distribute decides how the configuration reaches a node: which nodes
// read the log, which peers a node forwards records to, how it fills gaps, where a
// new node gets its first state and which node writes snapshots. It is
// deterministic: time and randomness come from the caller. process/control runs its
// actions.
//
// It imports eventlog, request packages and version/config.
package distribute
