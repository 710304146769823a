package gate

import (
	"bytes"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"errors"
	"hash"
	"net/http"
	"strings"
)

var errContentDigest = errors.New("response does not match its Content-Digest")

// digestCheck verifies the Content-Digest (RFC 9530) of a target's response.
// net/http itself verifies Content-Length.
type digestCheck struct {
	hash hash.Hash
	want []byte
}

// newDigestCheck reads the Content-Digest of a response. Without one, or with
// unknown algorithms only, the check accepts any body.
func newDigestCheck(h http.Header) *digestCheck {
	c := &digestCheck{}
	text := h.Get("Content-Digest")
	if text == "" {
		return c
	}
	for _, member := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(member), "=")
		if !ok {
			continue
		}
		want, err := base64.StdEncoding.DecodeString(strings.Trim(value, ":"))
		if err != nil {
			continue
		}
		switch strings.ToLower(name) {
		case "sha-256":
			c.hash, c.want = sha256.New(), want
		case "sha-512":
			c.hash, c.want = sha512.New(), want
		}
	}
	return c
}

func (c *digestCheck) write(p []byte) {
	if c.hash != nil {
		_, _ = c.hash.Write(p) // never fails
	}
}

func (c *digestCheck) verify() error {
	if c.hash != nil && !bytes.Equal(c.hash.Sum(nil), c.want) {
		return errContentDigest
	}
	return nil
}
