package logfile

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// maxLineBytes bounds a line; a record of a request with 64 attempts has about
// 40 KB.
const maxLineBytes = 1 << 20

// Note is a log line without a record.
type Note struct {
	At      time.Time         `json:"at"`
	Node    string            `json:"node"`
	Level   string            `json:"level"`
	Message string            `json:"message"`
	Target  string            `json:"target,omitempty"`
	Request attempt.RequestID `json:"request,omitempty"`
	Error   string            `json:"error,omitempty"`
}

// SkipReason is the reason why lines were not read.
type SkipReason string

// Reasons to skip a line.
const (
	SkipNotJSON      SkipReason = "not JSON"
	SkipTruncated    SkipReason = "JSON that is cut or damaged"
	SkipOtherProgram SkipReason = "JSON of another program"
	SkipLong         SkipReason = "longer than 1 MiB"
	SkipRecord       SkipReason = "a record that cannot be read"
)

// Skipped counts the lines of a file that were not read for one reason.
type Skipped struct {
	File   string     `json:"file"`
	Reason SkipReason `json:"reason"`
	Lines  int        `json:"lines"`
	First  int        `json:"first"` // line number, from 1
}

// NodeCoverage is what the files hold of one node.
type NodeCoverage struct {
	Node    string    `json:"node"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	Lines   int       `json:"lines"`
	Dropped int64     `json:"dropped"` // lines that the node itself left out
	// LastDrop is the time of the line that told of the last ones.
	LastDrop time.Time `json:"last_drop,omitzero"`
}

// Log is what was read from all files.
type Log struct {
	Records []record.Record
	Notes   []Note
	Skipped []Skipped
	spans   map[string]*NodeCoverage
}

// line is a log line of hyssopsill.
type line struct {
	Level   string            `json:"level"`
	Node    string            `json:"node"`
	Time    time.Time         `json:"time"`
	Message string            `json:"message"`
	Target  string            `json:"target"`
	Request attempt.RequestID `json:"request"`
	Error   string            `json:"error"`
	Dropped int64             `json:"lines_dropped"` // telemetry.FieldLinesDropped
	Lost    int64             `json:"lines_lost"`    // telemetry.FieldLinesLost
	Record  json.RawMessage   `json:"record"`        // telemetry.FieldRecord
}

// Read adds the lines of a file. Errors are those of the reader; what was read
// until then stays.
func (l *Log) Read(file string, r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for number := 1; ; number++ {
		text, long, err := readLine(in)
		switch {
		case long:
			l.skip(file, number, SkipLong)
		case len(bytes.TrimSpace(text)) > 0:
			l.add(file, number, text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s:%d: %w", file, number, err)
		}
	}
}

// readLine returns the next line, without its rest when it is too long.
func readLine(in *bufio.Reader) (text []byte, long bool, err error) {
	for {
		part, err := in.ReadSlice('\n')
		if len(text)+len(part) > maxLineBytes {
			long = true
		} else {
			text = append(text, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return text, long, err
		}
	}
}

// add reads one line. Text before the object, such as the name of a process, is
// left out.
func (l *Log) add(file string, number int, text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		l.skip(file, number, SkipNotJSON)
		return
	}
	var x line
	if err := json.Unmarshal(text[start:], &x); err != nil {
		l.skip(file, number, SkipTruncated)
		return
	}
	if x.Node == "" || x.Time.IsZero() || x.Message == "" {
		l.skip(file, number, SkipOtherProgram)
		return
	}
	if len(x.Record) > 0 {
		var r record.Record
		if err := json.Unmarshal(x.Record, &r); err != nil || (r.Request == nil && r.Change == nil) {
			l.skip(file, number, SkipRecord)
			return
		}
		l.Records = append(l.Records, r)
	} else {
		l.Notes = append(l.Notes, Note{At: x.Time, Node: x.Node, Level: x.Level, Message: x.Message, Target: x.Target,
			Request: x.Request, Error: x.Error})
	}
	l.see(&x)
}

func (l *Log) see(x *line) {
	if l.spans == nil {
		l.spans = map[string]*NodeCoverage{}
	}
	s := l.spans[x.Node]
	if s == nil {
		s = &NodeCoverage{Node: x.Node, First: x.Time, Last: x.Time}
		l.spans[x.Node] = s
	}
	s.Lines++
	if x.Time.Before(s.First) {
		s.First = x.Time
	}
	if x.Time.After(s.Last) {
		s.Last = x.Time
	}
	missing := x.Dropped + x.Lost
	if s.Dropped += missing; missing > 0 && x.Time.After(s.LastDrop) {
		s.LastDrop = x.Time
	}
}

func (l *Log) skip(file string, number int, reason SkipReason) {
	i := slices.IndexFunc(l.Skipped, func(s Skipped) bool { return s.File == file && s.Reason == reason })
	if i < 0 {
		l.Skipped = append(l.Skipped, Skipped{File: file, Reason: reason, First: number})
		i = len(l.Skipped) - 1
	}
	l.Skipped[i].Lines++
}

// Coverages returns what was read of each node, by name.
func (l *Log) Coverages() []NodeCoverage {
	out := make([]NodeCoverage, 0, len(l.spans))
	for _, s := range l.spans {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b NodeCoverage) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// Coverage returns what was read of one node.
func (l *Log) Coverage(node string) (NodeCoverage, bool) {
	s := l.spans[node]
	if s == nil {
		return NodeCoverage{}, false
	}
	return *s, true
}
