package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// ErrMalformed marks a message that does not decode.
var ErrMalformed = errors.New("malformed membership message")

const (
	wireVersion = 1

	flagClaim    = 0b0000_0011
	flagDeclared = 0b0000_1100
	flagMeta     = 0b0001_0000
	flagTargets  = 0b0010_0000
	flagPatch    = 0b0100_0000
	flagReports  = 0b1000_0000
)

var declaredStates = [4]NodeState{NodeAlive, NodePaused, NodeLeaving, NodeLeft}

type writer struct{ b []byte }

func (w *writer) uint(v uint64) { w.b = binary.AppendUvarint(w.b, v) }
func (w *writer) text(s string) { w.uint(uint64(len(s))); w.b = append(w.b, s...) }
func (w *writer) fixed(v uint64) {
	w.b = binary.BigEndian.AppendUint64(w.b, v)
}

func (w *writer) incarnation(i attempt.Incarnation) {
	w.uint(uint64(i.StartedMS))
	w.fixed(i.Random)
}

// Encode writes the wire form.
func (m Message) Encode() []byte {
	w := &writer{b: make([]byte, 0, 256)}
	w.b = append(w.b, wireVersion, byte(m.Kind))
	w.text(m.From)
	w.incarnation(m.Incarnation)
	w.uint(uint64(m.ConfigVersion))
	w.uint(m.Seq)
	w.text(m.Subject)
	w.uint(uint64(len(m.Buckets)))
	for _, hash := range m.Buckets {
		w.fixed(hash)
	}
	if m.Kind == KindList {
		w.fixed(m.Mask)
	}
	w.uint(uint64(len(m.Versions)))
	for _, item := range m.Versions {
		w.item(item)
	}
	w.uint(uint64(len(m.Requested)))
	for _, name := range m.Requested {
		w.text(name)
	}
	w.uint(uint64(len(m.Deltas)))
	for i := range m.Deltas {
		w.delta(&m.Deltas[i])
	}
	return w.b
}

func (w *writer) item(item MemberVersion) {
	w.text(item.Node)
	w.incarnation(item.Incarnation)
	w.uint(item.Version)
	w.uint(item.TargetsVersion)
	w.flag(item.Dead)
}

func (w *writer) flag(v bool) {
	if v {
		w.b = append(w.b, 1)
	} else {
		w.b = append(w.b, 0)
	}
}

func (w *writer) delta(d *Delta) {
	w.text(d.Node)
	w.incarnation(d.Incarnation)
	w.uint(d.Version)
	flags := byte(d.Claim)
	for i, state := range declaredStates {
		if d.Declared == state {
			flags |= byte(i) << 2
		}
	}
	if d.Meta != nil {
		flags |= flagMeta
	}
	if d.HasTargets {
		flags |= flagTargets
	}
	if d.Patch != nil {
		flags |= flagPatch
	}
	if d.Reports != nil {
		flags |= flagReports
	}
	w.b = append(w.b, flags)
	w.uint(d.TargetsVersion)
	if d.Meta != nil {
		w.text(d.Meta.Region)
		w.text(d.Meta.Domain)
		w.text(d.Meta.DataAddress)
		w.text(d.Meta.ControlAddress)
	}
	if d.HasTargets {
		w.targets(d.Targets)
	}
	if d.Patch != nil {
		w.uint(d.Patch.Base)
		w.targets(d.Patch.Changed)
		w.uint(uint64(len(d.Patch.Removed)))
		for _, id := range d.Patch.Removed {
			w.text(id)
		}
	}
	if d.Reports != nil {
		w.uint(d.Reports.Version)
		w.text(string(d.Reports.Data))
	}
}

func (w *writer) targets(targets []Target) {
	w.uint(uint64(len(targets)))
	for _, t := range targets {
		w.text(t.ID)
		w.text(t.Service)
		w.text(t.Address)
		w.uint(uint64(t.Slots))
		w.incarnation(t.Incarnation)
		w.flag(t.Leaving)
		w.uint(uint64(t.AnnouncedAt.UnixMilli()))
	}
}

type reader struct {
	b    []byte
	at   int
	fail error
}

func (r *reader) failf(format string, args ...any) {
	if r.fail == nil {
		r.fail = fmt.Errorf("%w: byte %d: %s", ErrMalformed, r.at, fmt.Sprintf(format, args...))
	}
	r.at = len(r.b)
}

func (r *reader) byte() byte {
	if r.at >= len(r.b) {
		r.failf("message ends")
		return 0
	}
	r.at++
	return r.b[r.at-1]
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.b[r.at:])
	if n <= 0 {
		r.failf("not a number")
		return 0
	}
	r.at += n
	return v
}

func (r *reader) int64() int64 {
	v := r.uint()
	if v > 1<<62 {
		r.failf("number too large")
		return 0
	}
	return int64(v)
}

// count reads the number of elements of which each takes some bytes.
func (r *reader) count(limit, elementBytes int) int {
	v := r.uint()
	if v > uint64(limit) || v > uint64(len(r.b)-r.at)/uint64(elementBytes) {
		r.failf("%d elements", v)
		return 0
	}
	return int(v)
}

func (r *reader) text(limit int) string {
	n := r.count(limit, 1)
	if r.fail != nil {
		return ""
	}
	r.at += n
	return string(r.b[r.at-n : r.at])
}

func (r *reader) name() string {
	s := r.text(maxName)
	if s == "" {
		r.failf("empty name")
	}
	return s
}

func (r *reader) fixed() uint64 {
	if len(r.b)-r.at < 8 {
		r.failf("message ends")
		return 0
	}
	r.at += 8
	return binary.BigEndian.Uint64(r.b[r.at-8:])
}

func (r *reader) incarnation() attempt.Incarnation {
	return attempt.Incarnation{StartedMS: r.int64(), Random: r.fixed()}
}

// Smallest encoded sizes of elements, by which a count is checked before memory
// is allocated for it.
const (
	minItemBytes   = 13
	minDeltaBytes  = 13
	minTargetBytes = 15
)

// Decode reads the wire form. Errors wrap ErrMalformed and name the byte.
func Decode(data []byte) (Message, error) {
	r := &reader{b: data}
	if v := r.byte(); r.fail == nil && v != wireVersion {
		r.failf("wire version %d, want %d", v, wireVersion)
	}
	m := Message{Kind: Kind(r.byte())}
	if m.Kind < KindPing || m.Kind > KindDeltas {
		r.failf("message kind %d", m.Kind)
	}
	m.From, m.Incarnation = r.name(), r.incarnation()
	m.ConfigVersion, m.Seq, m.Subject = r.int64(), r.uint(), r.text(maxName)
	if n := r.count(bucketCount, 8); n == bucketCount {
		m.Buckets = make([]uint64, n)
		for i := range m.Buckets {
			m.Buckets[i] = r.fixed()
		}
	} else if n != 0 || m.Kind == KindDigest {
		r.failf("%d buckets, want %d", n, bucketCount)
	}
	if m.Kind == KindList {
		m.Mask = r.fixed()
	}
	for n := r.count(maxItems, minItemBytes); n > 0 && r.fail == nil; n-- {
		m.Versions = append(m.Versions, MemberVersion{Node: r.name(), Incarnation: r.incarnation(), Version: r.uint(), TargetsVersion: r.uint(), Dead: r.byte() == 1})
	}
	for n := r.count(maxItems, 2); n > 0 && r.fail == nil; n-- {
		m.Requested = append(m.Requested, r.name())
	}
	for n := r.count(maxDeltas, minDeltaBytes); n > 0 && r.fail == nil; n-- {
		m.Deltas = append(m.Deltas, r.delta())
	}
	if r.fail == nil && r.at != len(data) {
		r.failf("%d bytes after the message", len(data)-r.at)
	}
	if r.fail != nil {
		return Message{}, r.fail
	}
	return m, nil
}

func (r *reader) delta() Delta {
	d := Delta{Node: r.name(), Incarnation: r.incarnation(), Version: r.uint()}
	flags := r.byte()
	d.Claim, d.Declared = Claim(flags&flagClaim), declaredStates[flags&flagDeclared>>2]
	if d.Claim > ClaimDead {
		r.failf("claim %d", d.Claim)
	}
	d.TargetsVersion = r.uint()
	if d.Version == 0 || d.TargetsVersion > d.Version {
		r.failf("version %d with targets version %d", d.Version, d.TargetsVersion)
	}
	if flags&flagMeta != 0 {
		d.Meta = &Meta{Region: r.text(maxName), Domain: r.text(maxName), DataAddress: r.text(maxName), ControlAddress: r.text(maxName)}
	}
	if flags&flagTargets != 0 {
		d.HasTargets, d.Targets = true, r.targets()
	}
	if flags&flagPatch != 0 {
		d.Patch = &Patch{Base: r.uint(), Changed: r.targets()}
		for n := r.count(MaxTargets, 2); n > 0 && r.fail == nil; n-- {
			d.Patch.Removed = append(d.Patch.Removed, r.name())
		}
	}
	if flags&flagReports != 0 {
		d.Reports = &Reports{Version: r.uint(), Data: []byte(r.text(MaxReports))}
	}
	return d
}

func (r *reader) targets() []Target {
	n := r.count(MaxTargets, minTargetBytes)
	var out []Target
	for ; n > 0 && r.fail == nil; n-- {
		t := Target{ID: r.name(), Service: r.text(maxName), Address: r.text(maxName)}
		t.Slots = int(min(r.uint(), 1<<20))
		t.Incarnation, t.Leaving = r.incarnation(), r.byte() == 1
		t.AnnouncedAt = time.UnixMilli(r.int64()).UTC()
		out = append(out, t)
	}
	return out
}
