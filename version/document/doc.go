// Package document decides which whole configuration is in force on a node when
// operators publish complete documents instead of changes: the valid document
// with the highest version. Documents arrive from the log service and from peers
// in any order, late and more than once. The package is deterministic;
// process/control sends and receives the documents.
//
// It imports request packages, version/config and version/distribute.
package document
