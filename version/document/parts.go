package document

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/version/chunk"
)

// Manifest describes a document that a peer has in chunks.
type Manifest struct {
	Version  int64
	Position eventlog.Position // from which to follow the log service after the document; zero if unknown
	Refs     []chunk.Ref
}

// assembly is a newer document of which some chunks have arrived.
type assembly struct {
	Manifest
	*chunk.Assembly
}

// SetChunks notes the chunks of the document in force, unless another version is in force
// by now. Peers get the document from then on.
func (c *Core) SetChunks(version int64, d *chunk.Document) {
	if c.Version() == version {
		c.encoded, c.encodedAs = d, version
	}
}

// LastChunks returns the chunks of the document in force, or of an older one.
func (c *Core) LastChunks() *chunk.Document { return c.encoded }

// Chunks returns the chunks of the document in force, or nil.
func (c *Core) Chunks() (Manifest, *chunk.Document) {
	if c.encoded == nil || c.encodedAs != c.Version() {
		return Manifest{}, nil
	}
	return Manifest{Version: c.Version(), Position: c.position, Refs: c.encoded.Refs}, c.encoded
}

// Position returns the position from which to follow the log service after the document
// in force, zero if it is not known.
func (c *Core) Position() eventlog.Position { return c.position }

// Held returns the prefixes of the digests of the chunks that a peer need not send.
func (c *Core) Held() []uint64 {
	var out []uint64
	if c.encoded != nil {
		for _, r := range c.encoded.Refs {
			out = append(out, r.Digest.Prefix())
		}
	}
	if c.assembly != nil {
		out = append(out, c.assembly.Held()...)
	}
	return out
}

// OfferManifest begins the assembly of a newer document. It keeps the chunks that have
// arrived for an older one.
func (c *Core) OfferManifest(m Manifest) error {
	if m.Version <= c.Version() {
		return nil
	}
	var earlier *chunk.Assembly
	if a := c.assembly; a != nil {
		if m.Version < a.Version || m.Version == a.Version && slices.Equal(m.Refs, a.Refs) {
			return nil
		}
		earlier = a.Assembly
	}
	next, err := chunk.NewAssembly(m.Refs, c.encoded, earlier)
	if err != nil {
		return fmt.Errorf("manifest of version %d: %w", m.Version, err)
	}
	c.assembly = &assembly{Manifest: m, Assembly: next}
	return nil
}

// OfferChunk adds a chunk that a peer sent. It reports whether it was needed.
func (c *Core) OfferChunk(now time.Time, node string, ref chunk.Ref, compressed []byte) (bool, error) {
	if f, ok := c.fetches[node]; ok {
		f.progressAt = now
		c.fetches[node] = f
	}
	if c.assembly == nil {
		return false, nil
	}
	return c.assembly.Add(ref, compressed)
}

// TakeAssembled returns the newer document once all its chunks have arrived, and forgets it.
func (c *Core) TakeAssembled() (Manifest, *chunk.Assembly, bool) {
	if c.assembly == nil || !c.assembly.Complete() {
		return Manifest{}, nil, false
	}
	a := c.assembly
	c.assembly = nil
	return a.Manifest, a.Assembly, true
}
