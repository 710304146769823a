package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Encode returns the configuration as TOML. Parse of the result gives an equal
// configuration without the version.
func (c *Config) Encode() ([]byte, error) {
	text, err := toml.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return text, nil
}

// Paths of objects.
const (
	ObjectCustomers = "customers"
	prefixServices  = "services/"
	prefixRoutes    = "routes/"
	prefixAccounts  = "accounts/"
)

// Objects splits the configuration into its objects and their TOML values.
func (c *Config) Objects() (map[string]string, error) {
	out := map[string]string{}
	put := func(path string, value any) error {
		text, err := marshalObject(value)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		out[path] = text
		return nil
	}
	if c.CustomerHeader != "" && c.CustomerHeader != DefaultCustomerHeader {
		if err := put(ObjectCustomers, customers{CustomerHeader: c.CustomerHeader}); err != nil {
			return nil, err
		}
	}
	for name, service := range c.Services {
		if err := put(prefixServices+name, service); err != nil {
			return nil, err
		}
	}
	for _, route := range c.Routes {
		if err := put(prefixRoutes+route.ID, route); err != nil {
			return nil, err
		}
	}
	for name, account := range c.Accounts {
		if err := put(prefixAccounts+name, account); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// emptyObject is the TOML of an object without keys, such as an account that has none. An
// empty value would delete the object.
const emptyObject = "# empty\n"

func marshalObject(value any) (string, error) {
	text, err := toml.Marshal(value)
	if err == nil && len(text) == 0 {
		return emptyObject, nil
	}
	return string(text), err
}

// Difference is one object that differs between two configurations. From or To
// is empty when the object does not exist there.
type Difference struct {
	Object string `json:"object"`
	From   string `json:"from,omitempty"` // TOML
	To     string `json:"to,omitempty"`   // TOML
}

// Diff returns the objects in which b differs from a, ordered by path. Either
// configuration may be nil.
func Diff(a, b *Config) ([]Difference, error) {
	from, err := objectsOf(a)
	if err != nil {
		return nil, err
	}
	to, err := objectsOf(b)
	if err != nil {
		return nil, err
	}
	var out []Difference
	for path, value := range from {
		if to[path] != value {
			out = append(out, Difference{Object: path, From: value, To: to[path]})
		}
	}
	for path, value := range to {
		if _, ok := from[path]; !ok {
			out = append(out, Difference{Object: path, To: value})
		}
	}
	slices.SortFunc(out, func(x, y Difference) int { return strings.Compare(x.Object, y.Object) })
	return out, nil
}

func objectsOf(c *Config) (map[string]string, error) {
	if c == nil {
		return nil, nil
	}
	return c.Objects()
}

// WithoutKeys returns the difference for display, with digests in place of the API keys of
// an account. Equal keys have equal digests, so that a rotation remains visible.
func (d Difference) WithoutKeys() Difference {
	if strings.HasPrefix(d.Object, prefixAccounts) {
		d.From, d.To = withoutKeys(d.From), withoutKeys(d.To)
	}
	return d
}

func withoutKeys(value string) string {
	if value == "" {
		return ""
	}
	var a Account
	if err := toml.Unmarshal([]byte(value), &a); err != nil {
		return "# not readable\n" // the error may quote a key
	}
	for i, key := range a.Keys {
		sum := sha256.Sum256([]byte(key))
		a.Keys[i] = "sha256:" + hex.EncodeToString(sum[:4])
	}
	text, err := marshalObject(a)
	if err != nil {
		return "# not readable\n"
	}
	return text
}
