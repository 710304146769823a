package attempt

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// BodyDigest computes the length and the xxhash64 of the body written to it.
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

// Write adds p to the digest. It never fails.
func (d *BodyDigest) Write(p []byte) (int, error) {
	d.length += int64(len(p))
	return d.hash.Write(p)
}

// Length returns the number of bytes written so far.
func (d *BodyDigest) Length() int64 { return d.length }

// Sum returns the hash in hexadecimal.
func (d *BodyDigest) Sum() string { return strconv.FormatUint(d.hash.Sum64(), 16) }

// SetTrailers sets the length and the hash as trailers of a response.
func (d *BodyDigest) SetTrailers(h http.Header) {
	h.Set(TrailerLength, strconv.FormatInt(d.length, 10))
	h.Set(TrailerDigest, d.Sum())
}

// ErrIncomplete reports a response without its trailers, which the gate therefore
// did not finish.
var ErrIncomplete = errors.New("response incomplete: trailers missing")

// Verify compares the digest with the trailers that the gate set on a received
// response.
func (d *BodyDigest) Verify(trailer http.Header) error {
	length, sum := trailer.Get(TrailerLength), trailer.Get(TrailerDigest)
	if length == "" || sum == "" {
		return ErrIncomplete
	}
	if length != strconv.FormatInt(d.length, 10) {
		return fmt.Errorf("response has %d bytes, gate sent %s", d.length, length)
	}
	if sum != d.Sum() {
		return fmt.Errorf("response has digest %s, gate sent %s", d.Sum(), sum)
	}
	return nil
}
