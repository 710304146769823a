// Package document decides which whole configuration is in force on a node when
// operators publish complete documents instead of changes: the valid document
// with the highest version. Documents arrive from the log service and from peers
// in any order, late and more than once. Core holds the document in force (core.go), what
// peers get of the newest one and what has arrived of a newer one (parts.go), from whom to
// fetch it (newer.go), and to whom to announce it (spread.go). The package is
// deterministic; process/control sends and receives the documents.
//
// It imports request packages, eventlog, version/chunk, version/config and
// version/distribute.
package document
