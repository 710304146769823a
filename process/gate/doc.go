// Package gate is the I/O layer of the gate role: it registers the targets that are
// announced on its host, accepts attempts from entries, sends them to the targets and
// reports their outcome. Decisions come from connection/admission,
// connection/breaker, request/order, request/poison and request/retry.
//
// It imports version, connection and request packages.
package gate
