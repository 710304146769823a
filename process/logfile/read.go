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

// maxLineBytes bounds a line. The record of a request with 64 attempts takes about
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

// SkipReason is the reason for which lines were skipped.
type SkipReason string

// Reasons to skip a line.
const (
	SkipNotJSON      SkipReason = "not JSON"
	SkipTruncated    SkipReason = "JSON that is cut or damaged"
	SkipOtherProgram SkipReason = "JSON of another program"
	SkipTooLong      SkipReason = "longer than 1 MiB"
	SkipBadRecord    SkipReason = "a record that cannot be read"
)

// Skipped counts the lines of a file that were skipped for one reason.
type Skipped struct {
	File   string     `json:"file"`
	Reason SkipReason `json:"reason"`
	Lines  int        `json:"lines"`
	First  int        `json:"first"` // line number, from 1
}

// NodeCoverage is the time range and the number of the lines read from one node.
type NodeCoverage struct {
	Node    string    `json:"node"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	Lines   int       `json:"lines"`
	Dropped int64     `json:"dropped"` // lines that the node dropped or lost
	// LastDrop is the time of the last line that counts dropped or lost lines.
	LastDrop time.Time `json:"last_drop,omitzero"`
}

// Log holds what was read from all files.
type Log struct {
	Records  []record.Record
	Notes    []Note
	Skipped  []Skipped
	coverage map[string]*NodeCoverage
}

// logLine is a log line of hyssopsill.
type logLine struct {
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

// Read adds the lines of a file. It returns the errors of the reader and keeps what
// was read before an error.
func (l *Log) Read(file string, r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for number := 1; ; number++ {
		text, long, err := readLine(in)
		switch {
		case long:
			l.countSkipped(file, number, SkipTooLong)
		case len(bytes.TrimSpace(text)) > 0:
			l.addLine(file, number, text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s:%d: %w", file, number, err)
		}
	}
}

// readLine returns the next line, and only part of it when it is longer than
// maxLineBytes.
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

// addLine adds the record or note of one line. It ignores text before the JSON
// object, such as the name of a process.
func (l *Log) addLine(file string, number int, text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		l.countSkipped(file, number, SkipNotJSON)
		return
	}
	var parsed logLine
	if err := json.Unmarshal(text[start:], &parsed); err != nil {
		l.countSkipped(file, number, SkipTruncated)
		return
	}
	if parsed.Node == "" || parsed.Time.IsZero() || parsed.Message == "" {
		l.countSkipped(file, number, SkipOtherProgram)
		return
	}
	if len(parsed.Record) > 0 {
		var r record.Record
		if err := json.Unmarshal(parsed.Record, &r); err != nil || (r.Request == nil && r.Change == nil) {
			l.countSkipped(file, number, SkipBadRecord)
			return
		}
		l.Records = append(l.Records, r)
	} else {
		l.Notes = append(l.Notes, Note{At: parsed.Time, Node: parsed.Node, Level: parsed.Level, Message: parsed.Message, Target: parsed.Target,
			Request: parsed.Request, Error: parsed.Error})
	}
	l.addCoverage(&parsed)
}

func (l *Log) addCoverage(line *logLine) {
	if l.coverage == nil {
		l.coverage = map[string]*NodeCoverage{}
	}
	coverage := l.coverage[line.Node]
	if coverage == nil {
		coverage = &NodeCoverage{Node: line.Node, First: line.Time, Last: line.Time}
		l.coverage[line.Node] = coverage
	}
	coverage.Lines++
	if line.Time.Before(coverage.First) {
		coverage.First = line.Time
	}
	if line.Time.After(coverage.Last) {
		coverage.Last = line.Time
	}
	missing := line.Dropped + line.Lost
	if coverage.Dropped += missing; missing > 0 && line.Time.After(coverage.LastDrop) {
		coverage.LastDrop = line.Time
	}
}

func (l *Log) countSkipped(file string, number int, reason SkipReason) {
	i := slices.IndexFunc(l.Skipped, func(s Skipped) bool { return s.File == file && s.Reason == reason })
	if i < 0 {
		l.Skipped = append(l.Skipped, Skipped{File: file, Reason: reason, First: number})
		i = len(l.Skipped) - 1
	}
	l.Skipped[i].Lines++
}

// Coverages returns the coverage of every node, sorted by name.
func (l *Log) Coverages() []NodeCoverage {
	out := make([]NodeCoverage, 0, len(l.coverage))
	for _, coverage := range l.coverage {
		out = append(out, *coverage)
	}
	slices.SortFunc(out, func(a, b NodeCoverage) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// Coverage returns the coverage of one node, or false when no line was read from it.
func (l *Log) Coverage(node string) (NodeCoverage, bool) {
	coverage := l.coverage[node]
	if coverage == nil {
		return NodeCoverage{}, false
	}
	return *coverage, true
}
