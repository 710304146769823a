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

// DigestOf returns the digest of a request. It covers only the first
// DigestBodyBytes bytes of body. Each part before the body is preceded by its
// length, so that moving bytes from one part to the next changes the digest.
func DigestOf(service, method, path, query string, body []byte) RequestDigest {
	var h xxhash.Digest
	h.Reset()
	for _, part := range [...]string{service, method, path, query} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:]) // never fails
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(body[:min(len(body), DigestBodyBytes)])
	return RequestDigest(h.Sum64())
}
