package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault of an input file.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // 1-based; 0 when unknown
	Key     string `json:"key,omitempty"`  // dotted key, such as services.orders.floor
	Message string `json:"message"`
}

// String formats the finding as file:line: key: message.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List holds findings. It is used as an error when it is not empty; see Err.
type List []Finding

// Error returns all findings, one per line, in the order of Sorted.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l.Sorted() {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Sorted returns a copy of the list, ordered by file, line and key.
func (l List) Sorted() List {
	out := append(List(nil), l...)
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Key < b.Key
	})
	return out
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
