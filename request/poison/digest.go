package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// DigestBodyBytes is the number of body bytes that a digest covers.
const DigestBodyBytes = 64 << 10

// RequestDigest identifies requests that are expected to have the same effect on
// a target.
type RequestDigest uint64

// Content is what a request asks of a target.
type Content struct {
	Service, Method, Path, Query string
	// Caller is the one that a target sees, since targets may treat the requests of one
	// caller differently.
	Caller string
	Body   []byte // at least the first DigestBodyBytes; further bytes are ignored
	Length int64  // of the whole body in bytes, -1 when unknown
}

// RequestOf returns the digests of a request.
func RequestOf(c Content) Request {
	shared := c.sharedDigest()
	var h xxhash.Digest
	h.Reset()
	writePart(&h, c.Caller)
	writeNumber(&h, uint64(shared))
	return Request{Digest: RequestDigest(h.Sum64()), Shared: shared}
}

// sharedDigest returns the digest without the caller.
func (c Content) sharedDigest() RequestDigest {
	var h xxhash.Digest
	h.Reset()
	for _, part := range [...]string{c.Service, c.Method, c.Path, c.Query} {
		writePart(&h, part)
	}
	writeNumber(&h, uint64(c.Length))
	_, _ = h.Write(c.Body[:min(len(c.Body), DigestBodyBytes)]) // never fails
	return RequestDigest(h.Sum64())
}

// writePart writes a part after its length, so that moving bytes from one part to the
// next changes the digest.
func writePart(h *xxhash.Digest, part string) {
	writeNumber(h, uint64(len(part)))
	_, _ = h.WriteString(part) // never fails
}

func writeNumber(h *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:]) // never fails
}
