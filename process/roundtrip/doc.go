// Package roundtrip is an HTTP/1.1 client with a pool of connections. It sends a
// request at most once and reports whether any byte of it was sent. net/http
// writes and parses the messages.
//
// net/http's Transport is not used for three reasons. It sends a request again by
// itself when a reused connection breaks. It may also return bytes that arrived on
// an idle connection, such as a duplicate response, as the response to the next
// request, since its check for them runs concurrently with the start of that
// request. And it takes a reset during the upload of a request for the end of a response
// without a length, see conn.readEndFailure.
//
// The package imports nothing else of this module.
package roundtrip
