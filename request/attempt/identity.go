package attempt

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// RequestID names one request of a customer, across all its attempts.
type RequestID string

// NewRequestID returns a request id of 128 random bits.
func NewRequestID(r *rand.Rand) RequestID {
	var bits [16]byte
	binary.BigEndian.PutUint64(bits[:8], r.Uint64())
	binary.BigEndian.PutUint64(bits[8:], r.Uint64())
	return RequestID(hex.EncodeToString(bits[:]))
}

// Incarnation distinguishes the successive runs of one node or target. A greater
// incarnation supersedes a lower one.
type Incarnation struct {
	StartedMS int64  `json:"started_ms"` // Unix milliseconds
	Random    uint64 `json:"random"`
}

// NewIncarnation returns the incarnation of a process that starts at now.
func NewIncarnation(now time.Time, r *rand.Rand) Incarnation {
	return Incarnation{StartedMS: now.UnixMilli(), Random: r.Uint64()}
}

// Compare returns -1, 0 or +1 as i is lower than, equal to or greater than o.
func (i Incarnation) Compare(o Incarnation) int {
	if c := cmp.Compare(i.StartedMS, o.StartedMS); c != 0 {
		return c
	}
	return cmp.Compare(i.Random, o.Random)
}

// IsZero reports whether the incarnation is unset.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }

// String formats the incarnation as hexadecimal milliseconds and random bits.
func (i Incarnation) String() string { return fmt.Sprintf("%x-%016x", i.StartedMS, i.Random) }

// ParseIncarnation parses the format of Incarnation.String.
func ParseIncarnation(s string) (Incarnation, error) {
	ms, random, ok := strings.Cut(s, "-")
	if !ok {
		return Incarnation{}, fmt.Errorf("incarnation %q: missing '-'", s)
	}
	started, err := strconv.ParseInt(ms, 16, 64)
	if err != nil {
		return Incarnation{}, fmt.Errorf("incarnation %q: %w", s, err)
	}
	bits, err := strconv.ParseUint(random, 16, 64)
	if err != nil {
		return Incarnation{}, fmt.Errorf("incarnation %q: %w", s, err)
	}
	return Incarnation{StartedMS: started, Random: bits}, nil
}

// ID names one attempt: the request, the number of the attempt and the entry
// process that makes it.
type ID struct {
	Request     RequestID
	Number      int // 1 for the first attempt
	Entry       string
	Incarnation Incarnation // of the entry process
}

// String formats the identity for HeaderAttempt.
func (id ID) String() string {
	return string(id.Request) + "/" + strconv.Itoa(id.Number) + "/" + id.Entry + "/" + id.Incarnation.String()
}

// ParseID parses the format of ID.String.
func ParseID(s string) (ID, error) {
	request, rest, ok1 := strings.Cut(s, "/")
	numberText, rest, ok2 := strings.Cut(rest, "/")
	entry, incarnation, ok3 := strings.Cut(rest, "/")
	if !ok1 || !ok2 || !ok3 || request == "" || entry == "" || strings.Contains(incarnation, "/") {
		return ID{}, fmt.Errorf("attempt %q: want request/number/entry/incarnation", s)
	}
	number, err := strconv.Atoi(numberText)
	if err != nil || number < 1 {
		return ID{}, fmt.Errorf("attempt %q: number is not a positive integer", s)
	}
	inc, err := ParseIncarnation(incarnation)
	if err != nil {
		return ID{}, fmt.Errorf("attempt %q: %w", s, err)
	}
	return ID{Request: RequestID(request), Number: number, Entry: entry, Incarnation: inc}, nil
}
