// Package telemetry holds a node's metrics (counters, histograms, invariants,
// control bytes), published over expvar, the exporter that writes decision
// records to the log, and the writers of log lines.
//
// It imports request packages and eventlog.
package telemetry
