package config

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/hyssopsill/hyssopsill/finding"
)

const (
	// MaxFileBytes bounds a configuration file.
	MaxFileBytes = 2 << 20
	// maxNesting bounds the depth of open brackets, and 4*maxNesting the dots in a
	// line, since the TOML decoder recurses on each.
	maxNesting = 64
)

// Parse decodes and validates a configuration file. It returns all findings
// together; the configuration is nil when there are any.
func Parse(file string, data []byte) (*Config, finding.List) {
	c := &Config{}
	doc, raw, list := decode(file, data, MaxFileBytes, c)
	if doc == nil {
		return nil, list
	}
	for name, value := range tables(raw["services"]) {
		key := "services." + name
		checkIntegers(doc, key, value)
		if s, ok := c.Services[name]; ok {
			s.defaultFloor(value)
			c.Services[name] = s
		}
	}
	for name, value := range tables(raw["accounts"]) {
		checkIntegers(doc, "accounts."+name, value)
	}
	c.applyDefaults()
	c.validate(doc.Add)
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) { // each is an object of the log
		if !accountPattern.MatchString(name) {
			doc.Add("accounts."+name, "name %q: want letters, digits, '.', '_' and '-', at most 128", name)
		}
	}
	if list := doc.Findings(); len(list) > 0 {
		return nil, list.Sorted()
	}
	return c, nil
}

func parseService(file string, data []byte) (Service, finding.List) {
	var s Service
	doc, raw, list := decode(file, data, MaxValueBytes, &s)
	if doc == nil {
		return s, list
	}
	checkIntegers(doc, "", raw)
	s.defaultFloor(raw)
	s.applyDefaults()
	s.validate("", doc.Add)
	return s, doc.Findings().Sorted()
}

func parseRoute(file, id string, data []byte) (Route, finding.List) {
	var r Route
	doc, _, list := decode(file, data, MaxValueBytes, &r)
	if doc == nil {
		return r, list
	}
	if r.ID == "" {
		r.ID = id
	}
	if r.ID != id {
		doc.Add("id", "is %q, want %q as in the path of the object", r.ID, id)
	}
	r.validate("", doc.Add)
	return r, doc.Findings().Sorted()
}

func parseAccount(file string, data []byte) (Account, finding.List) {
	var a Account
	doc, raw, list := decode(file, data, MaxValueBytes, &a)
	if doc == nil {
		return a, list
	}
	checkIntegers(doc, "", raw)
	a.validate("", doc.Add)
	return a, doc.Findings().Sorted()
}

type customers struct {
	CustomerHeader string `toml:"customer_header"`
}

func parseCustomers(file string, data []byte) (customers, finding.List) {
	var c customers
	doc, _, list := decode(file, data, MaxValueBytes, &c)
	if doc == nil {
		return c, list
	}
	setDefault(&c.CustomerHeader, DefaultCustomerHeader)
	validateHeader(c.CustomerHeader, doc.Add)
	return c, doc.Findings()
}

// decode decodes data into out and into a map of the keys that are present.
// It returns a nil document when the input cannot be decoded at all.
func decode(file string, data []byte, limit int, out any) (*finding.Document, map[string]any, finding.List) {
	if len(data) > limit {
		return nil, nil, finding.List{{File: file, Message: fmt.Sprintf("%d bytes, at most %d", len(data), limit)}}
	}
	if line := finding.DeepNestingLine(data, maxNesting, 4*maxNesting); line > 0 {
		return nil, nil, finding.List{{File: file, Line: line, Message: fmt.Sprintf("nested deeper than %d", maxNesting)}}
	}
	doc := finding.Decode(file, data, out)
	var raw map[string]any
	if err := toml.Unmarshal(data, &raw); err != nil {
		return nil, nil, doc.Findings() // Decode has recorded the syntax error
	}
	return doc, raw, nil
}

func (s *Service) defaultFloor(raw map[string]any) {
	if _, ok := raw["floor"]; !ok {
		s.Floor = DefaultFloor
	}
}

// tables returns the entries of a decoded TOML table that are tables themselves.
func tables(raw any) map[string]map[string]any {
	out := map[string]map[string]any{}
	all, _ := raw.(map[string]any)
	for name, value := range all {
		if table, ok := value.(map[string]any); ok {
			out[name] = table
		}
	}
	return out
}

// integerKeys are the keys of the integers in the model.
var integerKeys = integerKeysOf(reflect.TypeFor[Service](), reflect.TypeFor[Class]())

func integerKeysOf(types ...reflect.Type) map[string]bool {
	keys := map[string]bool{}
	for _, t := range types {
		for _, field := range reflect.VisibleFields(t) {
			if field.Type == reflect.TypeFor[int]() || field.Type == reflect.TypeFor[int64]() {
				key, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
				keys[key] = true
			}
		}
	}
	return keys
}

// checkIntegers reports fractions where an integer is expected; the decoder
// would truncate them silently.
func checkIntegers(doc *finding.Document, prefix string, raw map[string]any) {
	for key, value := range raw {
		path := joinKey(prefix, key)
		if v, ok := value.(float64); ok && integerKeys[key] && (v != math.Trunc(v) || math.IsInf(v, 0)) {
			doc.Add(path, "is %v, want an integer", v)
		}
		if key == "classes" {
			for name, class := range tables(value) {
				checkIntegers(doc, path+"."+name, class)
			}
		}
	}
}

func joinKey(prefix, key string) string {
	return strings.TrimPrefix(prefix+"."+key, ".")
}
