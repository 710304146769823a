// Package entry is the I/O layer of the entry role: it takes requests from
// callers, sends attempts to gates and delivers verified responses. Decisions
// come from connection/health, connection/selection, connection/ratelimit,
// connection/quota, request/class, request/order, request/poison and request/retry.
//
// It imports version, connection and request packages, process/roundtrip, and
// process/gate for the message formats that entries and gates share.
package entry
