package chunk

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// text returns a document of n lines.
func text(n int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for range n {
		fmt.Fprintf(&b, "\"r%x\":{\"host\":\"%x.example\",\"timeoutMs\":8000},\n", random.Uint64(), random.Uint32())
	}
	return b.Bytes()
}

// transfer puts a document together from its chunks on a node that has another document,
// and returns the compressed bytes that it lacked.
func transfer(t require, sent, known *Document) ([]byte, int) {
	a, err := NewAssembly(sent.Refs, known, nil)
	if err != nil {
		t.Fatal(err)
	}
	lacked := 0
	for _, r := range sent.Refs {
		added, err := a.Add(r, sent.Chunk(r.Digest))
		if err != nil {
			t.Fatal(err)
		}
		if added {
			lacked += len(sent.Chunk(r.Digest))
		}
	}
	if !a.Complete() {
		t.Fatal("not complete with all chunks")
	}
	_, data, err := a.Join()
	if err != nil {
		t.Fatal(err)
	}
	return data, lacked
}

type require interface{ Fatal(...any) }

func split(t require, data []byte, known *Document) *Document {
	d, err := Split(data, known)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a node that puts together other bytes than were split.
func TestDocumentIsWholeAfterTransfer(t *testing.T) {
	base := text(3000)
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.IntRange(0, len(base)).Draw(t, "from")
		to := rapid.IntRange(from, len(base)).Draw(t, "to")
		inserted := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "inserted")
		changed := bytes.Join([][]byte{base[:from], inserted, base[to:]}, nil)
		old := split(t, base, nil)
		if data, _ := transfer(t, split(t, changed, old), old); !bytes.Equal(data, changed) {
			t.Fatalf("%d bytes, want %d with the same content", len(data), len(changed))
		}
	})
}

// Guards against a change of one line that costs a large part of the document.
func TestSmallChangeCostsFewBytes(t *testing.T) {
	base := text(8000)
	known := split(t, base, nil)
	for at := 1000; at < len(base); at += len(base) / 10 {
		changed := bytes.Join([][]byte{base[:at], []byte(`"new":{"host":"new.example"},`), base[at:]}, nil)
		if _, lacked := transfer(t, split(t, changed, known), known); lacked > maxChunkBytes {
			t.Errorf("a line inserted at %d of %d costs %d bytes, want at most %d", at, len(base), lacked, maxChunkBytes)
		}
	}
}

// Guards against a chunk that was changed on its way, and a manifest that asks for more
// memory than a document may have.
func TestCorruptChunksAreRejected(t *testing.T) {
	d := split(t, text(2000), nil)
	for i, r := range d.Refs {
		a, err := NewAssembly(d.Refs, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		broken := bytes.Clone(d.Chunk(r.Digest))
		broken[len(broken)/2] ^= 1
		if _, err := a.Add(r, broken); !errors.Is(err, ErrCorrupt) {
			t.Errorf("chunk %d with a changed bit: %v", i, err)
		}
	}
	tooLarge := make([]Ref, MaxDocumentBytes/maxChunkBytes+1)
	for i := range tooLarge {
		tooLarge[i].Size = maxChunkBytes
	}
	for _, refs := range [][]Ref{tooLarge, {{Size: maxChunkBytes + 1}}, {{Size: 0}}} {
		if _, err := NewAssembly(refs, nil, nil); !errors.Is(err, ErrCorrupt) {
			t.Errorf("manifest of %d chunks, the first of %d bytes: %v", len(refs), refs[0].Size, err)
		}
	}
}
