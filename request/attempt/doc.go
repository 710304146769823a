// Package attempt holds the identity of requests and attempts, the headers of
// the HTTP profile and between nodes, outcomes, reasons, problem documents and the
// digest of a response.
//
// It imports nothing else of this module.
package attempt
