package attempt

import "testing"

// Guards against a panic on a malformed identity of a peer, and against one that is read
// as something other than it was written.
func FuzzParseID(f *testing.F) {
	f.Add("9c41/1/n1/1a2b-00000000000000ff")
	f.Add("////")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseID(text)
		if err != nil {
			return
		}
		if again, err := ParseID(id.String()); err != nil || again != id {
			t.Errorf("%q: %+v is read again as %+v, %v", text, id, again, err)
		}
	})
}

// Guards against a panic on a malformed load of a peer.
func FuzzParseLoad(f *testing.F) {
	f.Add("4 4 2 1 0 0")
	f.Add("4 4 2")
	f.Fuzz(func(t *testing.T, text string) {
		load, err := ParseLoad(text)
		if err != nil {
			return
		}
		if again, err := ParseLoad(load.String()); err != nil || again != load {
			t.Errorf("%q: %+v is read again as %+v, %v", text, load, again, err)
		}
	})
}
