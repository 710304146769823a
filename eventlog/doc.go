// Package eventlog defines the interface to the append-only log service, which
// stores what must outlive the processes of the fleet: streams of records, and
// tables that keep the newest record of each key. Package platform has the client.
//
// It imports nothing else of this module.
package eventlog
