package order

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// KeyID identifies an order key by its hash. Service and customer are part of
// it, so that equal texts of two customers are two keys.
type KeyID [16]byte

// String returns the hexadecimal form.
func (id KeyID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText writes the hexadecimal form.
func (id KeyID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText reads the hexadecimal form.
func (id *KeyID) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(id) {
		return fmt.Errorf("order key hash %q: want %d hexadecimal digits", text, 2*len(id))
	}
	copy(id[:], b)
	return nil
}

// Owner is the one gate incarnation that may run a key.
type Owner struct {
	Node        string              `json:"node"`
	Incarnation attempt.Incarnation `json:"incarnation"`
}

// Key is an order key as the Registry needs it. The zero Key stands for
// non-idempotent work without a key.
type Key struct {
	ID        KeyID
	Owner     Owner
	Service   string
	IssuedAt  time.Time // time of issue, or of binding for a foreign key
	ExpiresAt time.Time // from this time on the key is refused
}

// IsZero reports whether the work has no key.
func (k Key) IsZero() bool { return k.ID == KeyID{} }

// Errors of Parse. Source: the caller's Idempotency-Key header.
var (
	ErrCustomerKey = errors.New("order key was not issued by the fleet")
	ErrInvalid     = errors.New("order key is damaged, forged or of another customer")
	ErrExpired     = errors.New("order key expired")
	ErrTooEarly    = errors.New("order key has an issue time in the future")
)

// maxSkew is the greatest clock difference between two nodes at which a key
// of the one is accepted by the other.
const maxSkew = time.Minute

const (
	keyPrefix = "hk1_" // version of the text form
	macSize   = sha256.Size
	tagSize   = 8 // bytes that tie the key to its customer
)

// KeyIssuerOptions configure a KeyIssuer. All nodes must use the same values.
type KeyIssuerOptions struct {
	FleetToken string
	Lifetime   time.Duration // of an issued key; default 30 min
}

// KeyIssuer issues and reads order keys. It is not safe for concurrent use.
type KeyIssuer struct {
	secret   []byte
	lifetime time.Duration
	r        *rand.Rand
}

// NewKeyIssuer returns a KeyIssuer. The random source only keeps keys apart; keys
// are authentic by their HMAC under the fleet token.
func NewKeyIssuer(o KeyIssuerOptions, r *rand.Rand) *KeyIssuer {
	if o.Lifetime <= 0 {
		o.Lifetime = 30 * time.Minute
	}
	secret := sha256.Sum256([]byte("order-key\x00" + o.FleetToken))
	return &KeyIssuer{secret: secret[:], lifetime: o.Lifetime, r: r}
}

func (m *KeyIssuer) mac(purpose string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, m.secret)
	var n [8]byte
	for _, p := range append([][]byte{[]byte(purpose)}, parts...) {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return h.Sum(nil)
}

func (m *KeyIssuer) tag(service, customer string) []byte {
	return m.mac("customer", []byte(service), []byte(customer))[:tagSize]
}

// Issue returns a new key of the customer for the service, bound to owner.
// Its characters are letters, digits, '-' and '_'.
func (m *KeyIssuer) Issue(now time.Time, service, customer string, owner Owner) string {
	var b []byte
	b = binary.BigEndian.AppendUint64(b, uint64(now.UnixMilli()))
	b = binary.BigEndian.AppendUint64(b, m.r.Uint64())
	b = binary.BigEndian.AppendUint64(b, m.r.Uint64())
	b = binary.BigEndian.AppendUint64(b, uint64(owner.Incarnation.StartedMS))
	b = binary.BigEndian.AppendUint64(b, owner.Incarnation.Random)
	b = append(b, m.tag(service, customer)...)
	b = appendText(b, owner.Node)
	b = appendText(b, service)
	b = append(b, m.mac("key", b)...)
	return keyPrefix + base64.RawURLEncoding.EncodeToString(b)
}

func appendText(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
	return append(b, s...)
}

func cutText(b []byte) (string, []byte, bool) {
	if len(b) < 2 {
		return "", nil, false
	}
	n := int(binary.BigEndian.Uint16(b))
	if len(b) < 2+n {
		return "", nil, false
	}
	return string(b[2 : 2+n]), b[2+n:], true
}

// Parse reads an issued key. It returns ErrCustomerKey for a text of another form,
// ErrInvalid when the key is not authentic, and ErrExpired or ErrTooEarly with
// the key. Whether the key is of the customer who sends it is checked by Check.
func (m *KeyIssuer) Parse(now time.Time, text string) (Key, error) {
	encoded, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return Key{}, ErrCustomerKey
	}
	b, err := base64.RawURLEncoding.DecodeString(encoded)
	const fixed = 5*8 + tagSize
	if err != nil || len(b) < fixed+4+macSize {
		return Key{}, ErrInvalid
	}
	body, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	if !hmac.Equal(mac, m.mac("key", body)) {
		return Key{}, ErrInvalid
	}
	k := Key{IssuedAt: time.UnixMilli(int64(binary.BigEndian.Uint64(body)))}
	k.Owner.Incarnation.StartedMS = int64(binary.BigEndian.Uint64(body[24:]))
	k.Owner.Incarnation.Random = binary.BigEndian.Uint64(body[32:])
	rest := body[fixed:]
	if k.Owner.Node, rest, ok = cutText(rest); !ok {
		return Key{}, ErrInvalid
	}
	if k.Service, rest, ok = cutText(rest); !ok || len(rest) != 0 {
		return Key{}, ErrInvalid
	}
	k.ExpiresAt = k.IssuedAt.Add(m.lifetime)
	// The decoded bytes identify the key: base64 allows several texts for
	// one byte string when the last character has unused bits.
	sum := sha256.Sum256(b)
	copy(k.ID[:], sum[:])
	switch {
	case !now.Before(k.ExpiresAt):
		return k, ErrExpired
	case k.IssuedAt.After(now.Add(maxSkew)):
		return k, ErrTooEarly
	}
	return k, nil
}

// CheckCustomer returns ErrInvalid unless the issued key text belongs to the customer
// and service. Without it, a customer could read another's stored answer.
func (m *KeyIssuer) CheckCustomer(text, service, customer string) error {
	b, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(text, keyPrefix))
	if err != nil || len(b) < 5*8+tagSize || !hmac.Equal(b[40:40+tagSize], m.tag(service, customer)) {
		return ErrInvalid
	}
	return nil
}

// CustomerKeyID returns the identity of a key that a customer generated itself.
func (m *KeyIssuer) CustomerKeyID(service, customer, text string) KeyID {
	var id KeyID
	copy(id[:], m.mac("foreign", []byte(service), []byte(customer), []byte(text)))
	return id
}
