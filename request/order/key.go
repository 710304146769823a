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

// KeyID identifies an order key by its hash. The hash covers service and
// customer, so that equal texts of two customers are two keys.
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
	IssuedAt  time.Time // time of issue, or of binding for a customer key
	ExpiresAt time.Time // the key is refused from this time on
}

// IsZero reports whether the work has no key.
func (k Key) IsZero() bool { return k.ID == KeyID{} }

// Errors of Parse, which reads the caller's Idempotency-Key header.
var (
	ErrCustomerKey = errors.New("order key was not issued by the fleet")
	ErrInvalid     = errors.New("order key is malformed, forged or of another customer")
	ErrExpired     = errors.New("order key expired")
	ErrTooEarly    = errors.New("order key has an issue time in the future")
)

// maxClockSkew is the greatest clock difference between two nodes at which one
// accepts a key that the other issued.
const maxClockSkew = time.Minute

const (
	keyPrefix       = "hk1_" // identifies the version of the text form
	macSize         = sha256.Size
	customerTagSize = 8 // bytes of the MAC that ties a key to its customer and service
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
	random   *rand.Rand
}

// NewKeyIssuer returns a KeyIssuer. The random source only makes keys distinct;
// an HMAC with a key derived from the fleet token authenticates them.
func NewKeyIssuer(opts KeyIssuerOptions, random *rand.Rand) *KeyIssuer {
	if opts.Lifetime <= 0 {
		opts.Lifetime = 30 * time.Minute
	}
	secret := sha256.Sum256([]byte("order-key\x00" + opts.FleetToken))
	return &KeyIssuer{secret: secret[:], lifetime: opts.Lifetime, random: random}
}

func (ki *KeyIssuer) mac(purpose string, parts ...[]byte) []byte {
	hash := hmac.New(sha256.New, ki.secret)
	var length [8]byte
	for _, part := range append([][]byte{[]byte(purpose)}, parts...) {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hash.Sum(nil)
}

func (ki *KeyIssuer) customerTag(service, customer string) []byte {
	return ki.mac("customer", []byte(service), []byte(customer))[:customerTagSize]
}

// Issue returns a new key of the customer for the service, bound to owner. The
// key consists of letters, digits, '-' and '_'.
func (ki *KeyIssuer) Issue(now time.Time, service, customer string, owner Owner) string {
	var b []byte
	b = binary.BigEndian.AppendUint64(b, uint64(now.UnixMilli()))
	b = binary.BigEndian.AppendUint64(b, ki.random.Uint64())
	b = binary.BigEndian.AppendUint64(b, ki.random.Uint64())
	b = binary.BigEndian.AppendUint64(b, uint64(owner.Incarnation.StartedMS))
	b = binary.BigEndian.AppendUint64(b, owner.Incarnation.Random)
	b = append(b, ki.customerTag(service, customer)...)
	b = appendText(b, owner.Node)
	b = appendText(b, service)
	b = append(b, ki.mac("key", b)...)
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
// the key. CheckCustomer checks that the key belongs to the customer who sends it.
func (ki *KeyIssuer) Parse(now time.Time, text string) (Key, error) {
	encoded, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return Key{}, ErrCustomerKey
	}
	b, err := base64.RawURLEncoding.DecodeString(encoded)
	const fixedSize = 5*8 + customerTagSize
	if err != nil || len(b) < fixedSize+4+macSize {
		return Key{}, ErrInvalid
	}
	body, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	if !hmac.Equal(mac, ki.mac("key", body)) {
		return Key{}, ErrInvalid
	}
	key := Key{IssuedAt: time.UnixMilli(int64(binary.BigEndian.Uint64(body)))}
	key.Owner.Incarnation.StartedMS = int64(binary.BigEndian.Uint64(body[24:]))
	key.Owner.Incarnation.Random = binary.BigEndian.Uint64(body[32:])
	rest := body[fixedSize:]
	if key.Owner.Node, rest, ok = cutText(rest); !ok {
		return Key{}, ErrInvalid
	}
	if key.Service, rest, ok = cutText(rest); !ok || len(rest) != 0 {
		return Key{}, ErrInvalid
	}
	key.ExpiresAt = key.IssuedAt.Add(ki.lifetime)
	// The key ID is a hash of the decoded bytes: base64 allows several texts
	// for one byte string when the last character has unused bits.
	sum := sha256.Sum256(b)
	copy(key.ID[:], sum[:])
	switch {
	case !now.Before(key.ExpiresAt):
		return key, ErrExpired
	case key.IssuedAt.After(now.Add(maxClockSkew)):
		return key, ErrTooEarly
	}
	return key, nil
}

// CheckCustomer returns ErrInvalid unless the issued key text belongs to the customer
// and service. Without it, a customer could read another's stored response.
func (ki *KeyIssuer) CheckCustomer(text, service, customer string) error {
	b, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(text, keyPrefix))
	if err != nil || len(b) < 5*8+customerTagSize || !hmac.Equal(b[40:40+customerTagSize], ki.customerTag(service, customer)) {
		return ErrInvalid
	}
	return nil
}

// CustomerKeyID returns the ID of a key that a customer generated itself.
func (ki *KeyIssuer) CustomerKeyID(service, customer, text string) KeyID {
	var id KeyID
	copy(id[:], ki.mac("foreign", []byte(service), []byte(customer), []byte(text)))
	return id
}
