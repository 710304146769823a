// Package control is the drpc service between nodes. It carries membership
// messages, records and snapshots of the configuration, decision records and
// status. It also holds the services that run version/membership,
// version/distribute and version/document over it.
//
// Documents runs version/document: documents.go offers what arrives, fetch.go gets chunks
// from peers and serves them, announce.go tells peers of a version, follow.go decides
// when to read the log service, and logread.go makes one read.
//
// Each call carries the fleet token in its metadata; a call without it is
// refused before its message is decoded. A Meter counts the bytes of each method.
//
// It imports connection/transfer, eventlog, process/periodic, version packages and request
// packages.
package control
