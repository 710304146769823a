// Package chunk splits a document at places that its content determines, so that two
// versions share most of their chunks, and puts it together again. It answers documents of
// half a megabyte of which a change touches a line: a node fetches the chunks that it
// lacks, from any peer, and keeps those that have arrived when a peer is lost.
//
// It imports nothing else of this module.
package chunk
