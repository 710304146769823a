// Package roundtrip is an HTTP/1.1 client with a pool of connections. It sends a
// request at most once and reports whether any byte of it was sent. net/http
// writes and parses the messages.
//
// net/http's Transport is not used for two reasons. It sends a request again by
// itself when a reused connection breaks. It may also return bytes that arrived on
// an idle connection, such as a duplicate response, as the response to the next
// request, since its check for them runs concurrently with the start of that
// request.
//
// It imports nothing else of this module.
package roundtrip
