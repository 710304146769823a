// Package logservice is an in-memory stand-in for the platform's metadata store,
// with limited retention and faults that can be switched while it runs. Service
// implements eventlog.Log and eventlog.Tables. Its handler serves the store's
// protocol (log-append, log-read, log-newest and log-trim) with one partition
// per topic.
//
// The handler also serves the control interface of the stand-in:
//
//	GET  /v1/faults      Faults as JSON
//	PUT  /v1/faults      replaces Faults
//	GET  /v1/counts      Counts as JSON
//	POST /v1/checkpoint  copies all streams and tables
//	POST /v1/restore     replaces them by the last copy and raises the era by one
//
// It imports eventlog.
package logservice
