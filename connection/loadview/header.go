package loadview

import (
	"encoding/base64"
	"errors"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The header holds one record of recordBytes for each target, in base64url without padding:
//
//	3 bytes  low bits of the xxhash64 of the target's key
//	1 byte   load per slot in units of 1/loadUnits, rounded down, so that a load below 1
//	         means a free slot; failingLoad for a target whose circuit breaker is open
//	1 byte   load per slot of long work, in the same units
//	1 byte   age in units of ageUnit, rounded up, at most maxAgeUnits
//
// Traffic between failure domains is billed by the byte. A record takes 8 characters, a
// header at most 64.
const (
	recordBytes = 6
	recordChars = 8
	// MaxShared is the number of targets in one header.
	MaxShared = 8
	loadUnits = 32
	// failingLoad stands for a target whose circuit breaker refused a request.
	failingLoad = 255
	maxLoad     = (failingLoad - 1.0) / loadUnits
	ageUnit     = 8 * time.Millisecond
	// maxAgeUnits times ageUnit is MaxSharedAge.
	maxAgeUnits = 250
	// MaxSharedAge is the age above which a load is not passed on. Two seconds are about
	// the time in which the requests at a target are replaced.
	MaxSharedAge = maxAgeUnits * ageUnit
)

// ID identifies a target within its service. With 200 targets, two share an ID in one of
// 800 services; View ignores both.
type ID uint32

// IDOf returns the ID of a target's key.
func IDOf(target string) ID { return ID(xxhash.Sum64String(target) & 0xffffff) }

// Shared is the load of a target as a gate passes it on.
type Shared struct {
	Target     ID
	Load, Long float64 // requests per slot that compete with short and with long work
	Age        time.Duration
	Failing    bool // its circuit breaker refused a request; Load is not known
}

// valid reports whether the values are possible.
func (s Shared) valid() bool {
	return s.Target <= 0xffffff && s.Load >= 0 && s.Load <= maxLoad && s.Long >= 0 && s.Long <= maxLoad && s.Age >= 0 && s.Age <= MaxSharedAge
}

// encode formats up to MaxShared loads, which are valid.
func encode(list []Shared) string {
	var raw [MaxShared * recordBytes]byte
	var text [MaxShared * recordChars]byte
	for i, s := range list {
		load := encodeLoad(s.Load)
		if s.Failing {
			load = failingLoad
		}
		copy(raw[i*recordBytes:], []byte{byte(s.Target >> 16), byte(s.Target >> 8), byte(s.Target),
			load, encodeLoad(s.Long), byte((s.Age + ageUnit - 1) / ageUnit)})
	}
	n := len(list)
	base64.RawURLEncoding.Encode(text[:n*recordChars], raw[:n*recordBytes])
	return string(text[:n*recordChars])
}

func encodeLoad(load float64) byte { return byte(math.Min(load*loadUnits, failingLoad-1)) }

// Errors of headers.
var (
	errLength = errors.New("loads: the length is not that of 1 to 8 records")
	errRecord = errors.New("loads: invalid record")
)

// decode parses a header into list and returns the number of loads. It rejects a header with
// any invalid record.
func decode(header string, list *[MaxShared]Shared) (int, error) {
	n := len(header) / recordChars
	if n == 0 || n > MaxShared || len(header)%recordChars != 0 {
		return 0, errLength
	}
	var text [MaxShared * recordChars]byte
	var raw [MaxShared * recordBytes]byte
	copy(text[:], header)
	if written, err := base64.RawURLEncoding.Decode(raw[:], text[:len(header)]); err != nil || written != n*recordBytes { // line breaks are skipped by Decode
		return 0, errRecord
	}
	for i := range n {
		r := raw[i*recordBytes:]
		if r[5] > maxAgeUnits {
			return 0, errRecord
		}
		list[i] = Shared{Target: ID(r[0])<<16 | ID(r[1])<<8 | ID(r[2]), Load: float64(r[3]) / loadUnits, Long: math.Min(float64(r[4])/loadUnits, maxLoad),
			Age: time.Duration(r[5]) * ageUnit}
		if r[3] == failingLoad {
			list[i].Failing, list[i].Load = true, 0
		}
	}
	return n, nil
}
