package chunk

import "fmt"

// Assembly collects the chunks of one document. It is not safe for concurrent use.
type Assembly struct {
	refs    []Ref
	chunks  map[Digest][]byte // compressed
	missing int               // different chunks
}

// NewAssembly returns the assembly of a document with the chunks that the known documents
// and an earlier assembly share with it. Either may be nil.
func NewAssembly(refs []Ref, known *Document, earlier *Assembly) (*Assembly, error) {
	a := &Assembly{refs: refs, chunks: map[Digest][]byte{}}
	size := 0
	for _, r := range refs {
		if r.Size < 1 || r.Size > maxChunkBytes {
			return nil, fmt.Errorf("%w: chunk of %d bytes, want 1 to %d", ErrCorrupt, r.Size, maxChunkBytes)
		}
		if size += r.Size; size > MaxDocumentBytes {
			return nil, fmt.Errorf("%w: document has more than %d bytes", ErrCorrupt, MaxDocumentBytes)
		}
		if _, seen := a.chunks[r.Digest]; seen {
			continue
		}
		compressed := known.Chunk(r.Digest)
		if compressed == nil && earlier != nil {
			compressed = earlier.chunks[r.Digest]
		}
		a.chunks[r.Digest] = compressed
		if compressed == nil {
			a.missing++
		}
	}
	return a, nil
}

// Add takes one compressed chunk. It reports whether the assembly lacked it.
func (a *Assembly) Add(ref Ref, compressed []byte) (bool, error) {
	held, wanted := a.chunks[ref.Digest]
	if !wanted || held != nil {
		return false, nil
	}
	if _, err := decompress(ref, compressed); err != nil {
		return false, err
	}
	a.chunks[ref.Digest] = compressed
	a.missing--
	return true, nil
}

// Complete reports whether no chunk is missing.
func (a *Assembly) Complete() bool { return a.missing == 0 }

// Held returns the prefixes of the digests of the chunks that the assembly has.
func (a *Assembly) Held() []uint64 {
	var out []uint64
	for digest, compressed := range a.chunks {
		if compressed != nil {
			out = append(out, digest.Prefix())
		}
	}
	return out
}

// Join returns the document and its content. The assembly must be complete and must not be
// used afterwards.
func (a *Assembly) Join() (*Document, []byte, error) {
	var data []byte
	for _, r := range a.refs {
		content, err := decompress(r, a.chunks[r.Digest])
		if err != nil {
			return nil, nil, err
		}
		data = append(data, content...)
	}
	return &Document{Refs: a.refs, chunks: a.chunks}, data, nil
}
