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

// RequestOf returns the digests of a request, which cover only the first
// DigestBodyBytes bytes of body. The caller is the one that a target sees, since
// targets may treat the requests of one caller differently.
func RequestOf(service, method, path, query, caller string, body []byte) Request {
	shared := digestOf(service, method, path, query, body)
	var h xxhash.Digest
	h.Reset()
	writePart(&h, caller)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(shared))) // never fails
	return Request{Digest: RequestDigest(h.Sum64()), Shared: shared}
}

// digestOf returns the digest of a request without its caller.
func digestOf(service, method, path, query string, body []byte) RequestDigest {
	var h xxhash.Digest
	h.Reset()
	for _, part := range [...]string{service, method, path, query} {
		writePart(&h, part)
	}
	_, _ = h.Write(body[:min(len(body), DigestBodyBytes)])
	return RequestDigest(h.Sum64())
}

// writePart writes a part after its length, so that moving bytes from one part to the
// next changes the digest.
func writePart(h *xxhash.Digest, part string) {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
	_, _ = h.Write(n[:]) // never fails
	_, _ = h.WriteString(part)
}
