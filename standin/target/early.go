package target

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// patternCheck compares the bytes that are written to it with those of Pattern.
type patternCheck struct {
	pattern []byte
	length  int64
	altered int64 // offset of the first other byte, -1 without one
}

func newPatternCheck() *patternCheck { return &patternCheck{pattern: Pattern(blockBytes), altered: -1} }

func (c *patternCheck) Write(p []byte) (int, error) {
	for i, b := range p {
		at := c.length + int64(i)
		if c.altered < 0 && b != c.pattern[at%blockBytes] {
			c.altered = at
		}
	}
	c.length += int64(len(p))
	return len(p), nil
}

// serveUpload serves a request with a patterned body of a size. It responds after the first
// respondAfter bytes and reads on meanwhile. A body with other bytes, or one that ends
// properly with another size, is reported as an execution.
func (t *Target) serveUpload(w http.ResponseWriter, r *http.Request, faults Faults, size int64) {
	respondAfter, _ := strconv.ParseInt(r.URL.Query().Get("respond_after"), 10, 64)
	check := newPatternCheck()
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := io.CopyN(check, r.Body, respondAfter); err != nil {
		return // the gate interrupted the request
	}
	read := make(chan error, 1)
	go func() {
		_, err := io.Copy(check, r.Body)
		read <- err
	}()
	defer func() { // also when the response is cut off
		err := <-read
		switch {
		case check.altered >= 0:
			t.reportAltered(r, fmt.Sprintf("other bytes from %d on", check.altered))
		case err == nil && check.length != size:
			t.reportAltered(r, fmt.Sprintf("%d of %d bytes", check.length, size))
		}
	}()
	t.writeResponse(w, r, faults, requestBody{})
	_ = http.NewResponseController(w).Flush() // fails only if the gate is gone
}
