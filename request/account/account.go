package account

import (
	"crypto/sha256"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// MaxKeyBytes bounds an API key. A longer one is refused without a lookup.
const MaxKeyBytes = 4096

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	Rank *int // 0 is the most urgent; nil: none
}

// Table holds the accounts of one version of the configuration. It is immutable and safe
// for concurrent use.
type Table struct {
	// byKey has digests of keys, so that the time of a lookup does not show how much of
	// a guessed key is right.
	byKey map[[sha256.Size]byte]*Account
	empty bool
}

// NewTable indexes the accounts by their keys.
func NewTable(accounts []Account) *Table {
	t := &Table{byKey: make(map[[sha256.Size]byte]*Account, len(accounts)), empty: len(accounts) == 0}
	for _, a := range accounts {
		keys := a.Keys
		a.Keys = nil // the accounts in decisions hold no keys
		for _, key := range keys {
			t.byKey[sha256.Sum256([]byte(key))] = &a
		}
	}
	return t
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	Account  *Account // nil: the request belongs to no account
	Why      string   // of a refusal, without the key
}

// Admit decides about a request from its fields with API keys and whether its route is
// public. Without accounts every request is admitted.
func (t *Table) Admit(keyFields []string, public bool) Decision {
	if t.empty {
		return Decision{Admitted: true}
	}
	account, why := t.lookup(keyFields)
	if account != nil || public {
		return Decision{Admitted: true, Account: account}
	}
	return Decision{Why: why}
}

// lookup returns the account of the only key field, or the reason why there is none.
func (t *Table) lookup(keyFields []string) (*Account, string) {
	switch {
	case len(keyFields) == 0 || len(keyFields) == 1 && keyFields[0] == "":
		return nil, "the request has no API key"
	case len(keyFields) > 1:
		return nil, "the request has more than one API key"
	case len(keyFields[0]) > MaxKeyBytes:
		return nil, "the API key is too long"
	}
	if a := t.byKey[sha256.Sum256([]byte(keyFields[0]))]; a != nil {
		return a, ""
	}
	return nil, "the API key is not known"
}

// RequestRank returns the rank of a request from the rank of its class and that of its
// account, if it has one. 0 is the most urgent.
func RequestRank(a *Account, classRank int) int {
	if a != nil && a.Rank != nil {
		return attempt.CombinedRank(*a.Rank, classRank)
	}
	return attempt.CombinedRank(classRank, classRank)
}
