package finding

import (
	"bytes"
	"encoding/json"
	"errors"
)

// FromJSON returns an error of encoding/json about data as a finding with its line.
func FromJSON(file string, data []byte, err error) Finding {
	f := Finding{File: file, Message: err.Error()}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		f.Line = LineAt(data, syntax.Offset)
	case errors.As(err, &wrongType):
		f.Line, f.Key = LineAt(data, wrongType.Offset), wrongType.Field
	default:
		f.Line = 1
	}
	return f
}

// LineAt returns the line, from 1, of an offset in data.
func LineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), int64(len(data)))], []byte("\n"))
}
