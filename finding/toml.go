package finding

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Document is a decoded TOML file with the line of each key and the findings so far.
type Document struct {
	File       string
	root       string // name of out's type, which the decoder's errors use for the top level
	lines      map[string]int
	findings   List
	faultyKeys map[string]bool // keys that could not be decoded
}

// Decode decodes TOML into out, a pointer to a struct with `toml` tags.
// Unknown keys and values of a wrong type are collected in the document's
// findings; all other values are decoded. Durations are strings such as "250ms".
func Decode(file string, data []byte, out any) *Document {
	doc := &Document{File: file, root: reflect.TypeOf(out).Elem().String(), lines: map[string]int{}}
	var raw map[string]any
	if err := toml.Unmarshal(data, &raw); err != nil {
		doc.addSyntaxError(err)
		return doc
	}
	doc.indexLines(data)
	result := reflect.ValueOf(out).Elem()
	original := reflect.New(result.Type()).Elem()
	original.Set(result)
	doc.addDecodeErrors(decodeMap(raw, out))
	if len(doc.findings) == 0 {
		return doc
	}
	// When an element of a map holds a fault, the decoder leaves out the whole
	// element. A second pass without the faulty keys decodes the rest of it, so that
	// the caller can check those values as well.
	doc.faultyKeys = map[string]bool{}
	for _, f := range doc.findings {
		if f.Key != "" {
			doc.faultyKeys[f.Key] = true
			removeKey(raw, f.Key)
		}
	}
	result.Set(original)
	_ = decodeMap(raw, out) // the first pass recorded the faults
	return doc
}

// decodeMap decodes raw into out and returns all faults as joined errors.
func decodeMap(raw map[string]any, out any) error {
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		TagName:     "toml",
		ErrorUnused: true,
		MatchName:   func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			mapstructure.StringToTimeDurationHookFunc(),
			mapstructure.TextUnmarshallerHookFunc(),
		),
		Result: out,
	})
	if err != nil {
		return fmt.Errorf("decoder: %w", err)
	}
	return decoder.Decode(raw)
}

// removeKey deletes the value at a dotted key and reports whether it found one. When
// the key is in an array whose elements are not tables, it deletes the whole array.
// Names may contain dots, so each prefix of the key that is a name is tried.
func removeKey(table map[string]any, key string) bool {
	if _, ok := table[key]; ok {
		delete(table, key)
		return true
	}
	for i, char := range key {
		if char != '.' && char != '[' {
			continue
		}
		name, rest := key[:i], key[i:]
		value, ok := table[name]
		if !ok {
			continue
		}
		if char == '.' {
			if inner, ok := value.(map[string]any); ok && removeKey(inner, rest[1:]) {
				return true
			}
			continue
		}
		if !removeInArray(value, rest) && !removeNumericKey(value, rest) {
			delete(table, name)
		}
		return true
	}
	return false
}

// removeInArray deletes rest, such as [1].key, in an array of tables.
func removeInArray(value any, rest string) bool {
	index, key, ok := strings.Cut(rest[1:], "].")
	elements, isArray := value.([]any)
	i, err := strconv.Atoi(index)
	if !ok || !isArray || err != nil || i < 0 || i >= len(elements) {
		return false
	}
	table, ok := elements[i].(map[string]any)
	return ok && removeKey(table, key)
}

// removeNumericKey deletes rest, such as [1] or [1].key, in a table whose key is a
// number, which the decoder's errors write like an index.
func removeNumericKey(value any, rest string) bool {
	table, ok := value.(map[string]any)
	return ok && removeKey(table, strings.Replace(rest[1:], "]", "", 1))
}

// isFaulty reports whether the value at key, or a table or array that holds it, could
// not be decoded.
func (d *Document) isFaulty(key string) bool {
	for i, char := range key {
		if (char == '.' || char == '[') && d.faultyKeys[key[:i]] {
			return true
		}
	}
	return d.faultyKeys[key]
}

// Add records a finding at the line of key. Keys in array elements have the form
// routes[0].path. Add ignores a key that could not be decoded, since the decoded
// value is not the one in the file.
func (d *Document) Add(key, format string, args ...any) {
	if d.isFaulty(key) {
		return
	}
	d.findings = append(d.findings, Finding{
		File: d.File, Line: d.Line(key), Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// Line returns the line of key or of its nearest parent, and 0 when it is unknown.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		separator := strings.LastIndexAny(key, ".[")
		if separator < 0 {
			break
		}
		key = key[:separator]
	}
	return 0
}

// Findings returns the findings so far.
func (d *Document) Findings() List { return d.findings }

func (d *Document) addSyntaxError(err error) {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		d.findings = append(d.findings, Finding{
			File: d.File, Line: row, Key: strings.Join(decodeErr.Key(), "."), Message: decodeErr.Error(),
		})
		return
	}
	d.Add("", "%v", err)
}

var (
	unusedKeys = regexp.MustCompile(`^has invalid keys: (.*)$`)
	mapIndex   = regexp.MustCompile(`\[([^\]]*)\]`)
)

// addDecodeErrors adds a finding for each of the decoder's joined errors.
func (d *Document) addDecodeErrors(err error) {
	switch e := err.(type) {
	case nil:
	case *mapstructure.DecodeError:
		d.addDecodeError(d.normalizeKey(e.Name()), e.Unwrap())
	case interface{ Unwrap() []error }:
		for _, inner := range e.Unwrap() {
			d.addDecodeErrors(inner)
		}
	case interface{ Unwrap() error }:
		d.addDecodeErrors(e.Unwrap())
	default:
		d.Add("", "%v", err)
	}
}

// addDecodeError adds the cause at name, or one finding for each unknown key that
// the cause lists.
func (d *Document) addDecodeError(name string, cause error) {
	match := unusedKeys.FindStringSubmatch(cause.Error())
	if match == nil {
		d.Add(name, "%v", cause)
		return
	}
	for _, key := range strings.Split(match[1], ", ") {
		if name != "" && name != d.root {
			key = name + "." + key
		}
		d.Add(key, "unknown key")
	}
}

// normalizeKey turns the decoder's services[orders].floor into the dotted key
// services.orders.floor and keeps the indexes of array elements. A number in
// brackets is read as the name of a table when the file has such a table.
func (d *Document) normalizeKey(name string) string {
	key, end := "", 0
	for _, part := range mapIndex.FindAllStringIndex(name, -1) {
		key += name[end:part[0]]
		inner := name[part[0]+1 : part[1]-1]
		_, err := strconv.Atoi(inner)
		if _, isTable := d.lines[key+"."+inner]; err == nil && !isTable {
			key += "[" + inner + "]"
		} else {
			key += "." + inner
		}
		end = part[1]
	}
	return key + name[end:]
}

// indexLines records the first line of each key.
func (d *Document) indexLines(data []byte) {
	parser := unstable.Parser{}
	parser.Reset(data)
	counter := lineCounter{data: data, line: 1}
	prefix := ""
	arrays := map[string]int{}
	for parser.NextExpression() {
		node := parser.Expression()
		key, line := expressionKey(&counter, node)
		switch node.Kind {
		case unstable.Table:
			prefix = resolveArrays(key, arrays)
			d.recordLine(prefix, line)
		case unstable.ArrayTable:
			key = resolveArrays(key, arrays)
			prefix = fmt.Sprintf("%s[%d]", key, arrays[key])
			arrays[key]++
			d.recordLine(prefix, line)
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
			d.recordLine(key, line)
		}
	}
}

// recordLine records the line of key unless an earlier line is recorded.
func (d *Document) recordLine(key string, line int) {
	if _, ok := d.lines[key]; !ok {
		d.lines[key] = line
	}
}

// lineCounter converts ascending offsets into line numbers. The parser's own Shape
// scans from the start at each call, which took 556 ms for a file of 140 services.
type lineCounter struct {
	data   []byte
	offset int
	line   int
}

func (c *lineCounter) lineAt(offset int) int {
	if offset > c.offset {
		c.line += bytes.Count(c.data[c.offset:offset], []byte("\n"))
		c.offset = offset
	}
	return c.line
}

// expressionKey returns the dotted key of an expression and its line.
func expressionKey(counter *lineCounter, node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if line == 0 {
			line = counter.lineAt(int(part.Raw.Offset))
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), line
}

// resolveArrays replaces each array of tables that key passes through by its last
// element so far.
func resolveArrays(key string, arrays map[string]int) string {
	parts := strings.Split(key, ".")
	out := ""
	for i, part := range parts {
		if out != "" {
			out += "."
		}
		out += part
		if n, ok := arrays[out]; ok && i < len(parts)-1 {
			out = fmt.Sprintf("%s[%d]", out, n-1)
		}
	}
	return out
}
