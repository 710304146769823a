package attempt

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// BodyDigest measures the length and the xxhash64 of a body while it passes.
type BodyDigest struct {
	hash   xxhash.Digest
	length int64
}

// NewBodyDigest returns an empty digest.
func NewBodyDigest() *BodyDigest {
	d := &BodyDigest{}
	d.hash.Reset()
	return d
}

// Write adds p. It never fails.
func (d *BodyDigest) Write(p []byte) (int, error) {
	d.length += int64(len(p))
	return d.hash.Write(p)
}

// Length returns the bytes written so far.
func (d *BodyDigest) Length() int64 { return d.length }

// Sum returns the hash in hexadecimal.
func (d *BodyDigest) Sum() string { return strconv.FormatUint(d.hash.Sum64(), 16) }

// SetTrailers writes length and hash to the trailers of an answer.
func (d *BodyDigest) SetTrailers(h http.Header) {
	h.Set(TrailerLength, strconv.FormatInt(d.length, 10))
	h.Set(TrailerDigest, d.Sum())
}

// ErrIncomplete reports an answer without its trailers: the gate did not
// finish it.
var ErrIncomplete = errors.New("answer incomplete: trailers missing")

// Verify compares the digest with the trailers of a received answer. Source of
// the trailers is the gate.
func (d *BodyDigest) Verify(trailer http.Header) error {
	length, sum := trailer.Get(TrailerLength), trailer.Get(TrailerDigest)
	if length == "" || sum == "" {
		return ErrIncomplete
	}
	if length != strconv.FormatInt(d.length, 10) {
		return fmt.Errorf("answer has %d bytes, gate sent %s", d.length, length)
	}
	if sum != d.Sum() {
		return fmt.Errorf("answer has digest %s, gate sent %s", d.Sum(), sum)
	}
	return nil
}
