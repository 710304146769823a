package config

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/hyssopsill/hyssopsill/finding"
	"github.com/hyssopsill/hyssopsill/request/account"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const (
	minDuration = Duration(time.Millisecond)
	// MaxDuration is the longest time that a configuration may name.
	MaxDuration = Duration(24 * time.Hour)
	// MaxBodyBytes is the largest bound on a body that a configuration may name.
	MaxBodyBytes = int64(1 << 40)
	// MaxAccounts bounds the accounts of a configuration. The design size is 52,000.
	MaxAccounts = 100_000
	// maxAccountNameBytes bounds the name of an account, which is sent in a header field.
	maxAccountNameBytes = 256
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	headerPattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$")
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
	// accountPattern allows names that are safe in the path of an object.
	accountPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	hostPattern    = regexp.MustCompile(`^[A-Za-z0-9.:\[\]-]{1,255}$`)
)

// IsName reports whether a service or a route may have a name.
func IsName(name string) bool { return namePattern.MatchString(name) }

// addFunc records a finding at a dotted key.
type addFunc func(key, format string, args ...any)

// Validate returns all findings of the configuration, without lines. Parse
// returns them with lines.
func (c *Config) Validate(file string) finding.List {
	var list finding.List
	c.validate(func(key, format string, args ...any) {
		list = append(list, finding.Finding{File: file, Key: key, Message: fmt.Sprintf(format, args...)})
	})
	return list.Sorted()
}

func (c *Config) validate(add addFunc) {
	validateHeader(c.CustomerHeader, add)
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		key := "services." + name
		validateServiceName(key, name, add)
		s := c.Services[name]
		s.validate(key, add)
	}
	ids, routeByMatchKey := map[string]bool{}, map[string]string{}
	for i, r := range c.Routes {
		key := fmt.Sprintf("routes[%d]", i)
		r.validate(key, add)
		if !r.Blocked {
			r.validateReference(key, c.lookupService, add)
		}
		if r.ID != "" && ids[r.ID] {
			add(key+".id", "route %q exists already", r.ID)
		}
		ids[r.ID] = true
		for _, matchKey := range r.matchKeys() {
			if other, ok := routeByMatchKey[matchKey]; ok && other != r.ID {
				add(key+".path_prefix", "route %q matches the same requests as route %q", r.ID, other)
				break
			}
			routeByMatchKey[matchKey] = r.ID
		}
	}
	c.validateAccounts(add)
}

func (c *Config) validateAccounts(add addFunc) {
	if len(c.Accounts) > MaxAccounts {
		add("accounts", "%d accounts, at most %d", len(c.Accounts), MaxAccounts)
		return
	}
	accountByKey := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		path, a := "accounts."+name, c.Accounts[name]
		validateAccountName(path, name, add)
		a.validate(path, add)
		for i, key := range a.Keys {
			if other, ok := accountByKey[key]; ok && other != name {
				addSharedKey(path, i, name, other, add)
				continue
			}
			accountByKey[key] = name
		}
	}
}

// addSharedKey reports that two accounts hold the same API key. Findings are logged,
// so they never contain a key.
func addSharedKey(path string, index int, name, other string, add addFunc) {
	add(fmt.Sprintf("%s.keys[%d]", path, index), "account %q has the same key as account %q", name, other)
}

func (a *Account) validate(path string, add addFunc) {
	for i, key := range a.Keys {
		validateKey(fmt.Sprintf("%s[%d]", joinKey(path, "keys"), i), key, add)
	}
	if a.Rank != nil {
		checkRank(joinKey(path, "rank"), *a.Rank, add)
	}
	a.validateLimit(path, add)
}

func (a *Account) validateLimit(path string, add addFunc) {
	checkNotNegative(joinKey(path, "rate"), a.Rate, add)
	checkNotNegative(joinKey(path, "burst"), a.Burst, add)
	if a.Burst > 0 && a.Rate == 0 {
		add(joinKey(path, "burst"), "a burst needs a rate")
	}
}

func validateServiceName(key, name string, add addFunc) {
	if !namePattern.MatchString(name) {
		add(key, "name %q: want lower-case letters, digits and '-', at most 63", name)
	}
}

// validateAccountName allows names that a header field can carry, because platforms choose
// them.
func validateAccountName(key, name string, add addFunc) {
	if name == "" || len(name) > maxAccountNameBytes || strings.TrimSpace(name) != name || !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl) {
		add(key, "name %q: want 1 to %d bytes of text without control characters and without space at its ends", name, maxAccountNameBytes)
	}
}

func validateKey(field, key string, add addFunc) {
	switch {
	case key == "":
		add(field, "the key is empty")
	case len(key) > account.MaxKeyBytes:
		add(field, "the key has %d bytes, at most %d", len(key), account.MaxKeyBytes)
	case strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }):
		add(field, "the key has characters other than visible ASCII")
	}
}

func checkRank(key string, rank int, add addFunc) {
	if rank < 0 || rank > attempt.MaxRank {
		add(key, "is %d, want 0 to %d", rank, attempt.MaxRank)
	}
}

func (c *Config) lookupService(name string) (*Service, bool) {
	s, ok := c.Services[name]
	return &s, ok
}

func validateHeader(name string, add addFunc) {
	switch {
	case !headerPattern.MatchString(name):
		add("customer_header", "%q is not a header name", name)
	case strings.HasPrefix(strings.ToLower(name), "hyssopsill-"):
		add("customer_header", "%q: headers of the fleet are removed from requests", name)
	}
}

func (s *Service) validate(key string, add addFunc) {
	if !(s.Floor >= 0 && s.Floor <= 1) { // also rejects NaN
		add(joinKey(key, "floor"), "is %v, want a share from 0 to 1", s.Floor)
	}
	checkDuration(joinKey(key, "slow_start"), s.SlowStart, add)
	if !strings.HasPrefix(s.ProbePath, "/") {
		add(joinKey(key, "probe_path"), "%q: want a path that starts with /", s.ProbePath)
	}
	checkNotNegative(joinKey(key, "queue_limit"), float64(s.QueueLimit), add)
	checkNotNegative(joinKey(key, "max_rate"), s.MaxRate, add)
	checkNotNegative(joinKey(key, "max_concurrency"), float64(s.MaxConcurrency), add)
	checkNotNegative(joinKey(key, "customer_rate"), s.CustomerRate, add)
	checkNotNegative(joinKey(key, "customer_burst"), float64(s.CustomerBurst), add)
	checkNotNegative(joinKey(key, "customer_concurrency"), float64(s.CustomerConcurrency), add)
	if len(s.Classes) == 0 {
		add(joinKey(key, "classes"), "want at least one class")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		class := s.Classes[name]
		class.validate(joinKey(key, "classes."+name), name, add)
	}
}

func (c *Class) validate(key, name string, add addFunc) {
	if !namePattern.MatchString(name) {
		add(key, "name %q: want lower-case letters, digits and '-', at most 63", name)
	}
	switch c.Priority {
	case PriorityOrder, PriorityInteractive, PriorityBackground:
	default:
		add(key+".priority", "%q: want order, interactive or background", c.Priority)
	}
	checkDuration(key+".deadline", c.Deadline, add)
	if c.Objective != 0 {
		checkDuration(key+".objective", c.Objective, add)
	}
	checkRank(key+".rank", c.Rank, add)
	checkNotNegative(key+".max_attempts", float64(c.MaxAttempts), add)
	if c.MaxBody < 0 || c.MaxBody > MaxBodyBytes {
		add(key+".max_body", "is %d, want 0 to %d bytes", c.MaxBody, MaxBodyBytes)
	}
	if c.Hedge && !c.Idempotent {
		add(key+".hedge", "only idempotent work may be hedged")
	}
}

func (r *Route) validate(key string, add addFunc) {
	if !namePattern.MatchString(r.ID) {
		add(joinKey(key, "id"), "%q: want lower-case letters, digits and '-', at most 63", r.ID)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		add(joinKey(key, "path_prefix"), "%q: want a path that starts with /", r.PathPrefix)
	}
	if strings.HasPrefix(r.PathPrefix, "/.hyssopsill") {
		add(joinKey(key, "path_prefix"), "paths below /.hyssopsill belong to the fleet")
	}
	if r.Host != "" && !hostPattern.MatchString(r.Host) {
		add(joinKey(key, "host"), "%q is not a host", r.Host)
	}
	for i, method := range r.Methods {
		if !methodPattern.MatchString(method) || slices.Contains(r.Methods[:i], method) {
			add(joinKey(key, "methods"), "%q: want distinct methods in upper case", method)
		}
	}
}

// lookupService returns a service by its name.
type lookupService func(name string) (*Service, bool)

func (r *Route) validateReference(key string, lookup lookupService, add addFunc) {
	if len(r.Split) == 0 {
		r.validateService(key, "service", r.Service, lookup, add)
		return
	}
	if r.Service != "" {
		add(joinKey(key, "split"), "want either service or split")
	}
	for i, s := range r.Split {
		field := fmt.Sprintf("split[%d]", i)
		r.validateService(key, field+".service", s.Service, lookup, add)
		if !(s.Weight > 0) || math.IsInf(s.Weight, 0) {
			add(joinKey(key, field+".weight"), "is %v, want more than 0", s.Weight)
		}
	}
}

func (r *Route) validateService(key, field, name string, lookup lookupService, add addFunc) {
	service, ok := lookup(name)
	if !ok {
		add(joinKey(key, field), "service %q does not exist", name)
		return
	}
	if _, ok := service.Classes[r.Class]; !ok {
		add(joinKey(key, "class"), "class %q does not exist in service %q", r.Class, name)
	}
}

// services returns the names of the services that the route leads to.
func (r *Route) services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	names := make([]string, len(r.Split))
	for i, s := range r.Split {
		names[i] = s.Service
	}
	return names
}

// matchKeys returns one key for each combination of host, prefix and method that
// the route matches; two routes with an equal key are ambiguous.
func (r *Route) matchKeys() []string {
	base := strings.ToLower(r.Host) + " " + r.PathPrefix + " "
	if len(r.Methods) == 0 {
		return []string{base}
	}
	keys := make([]string, len(r.Methods))
	for i, method := range r.Methods {
		keys[i] = base + method
	}
	return keys
}

// checkDuration also reports a bare number, which the decoder reads as
// nanoseconds.
func checkDuration(key string, d Duration, add addFunc) {
	if d < minDuration || d > MaxDuration {
		add(key, "is %s, want 1ms to 24h with a unit, such as 250ms", time.Duration(d))
	}
}

func checkNotNegative(key string, v float64, add addFunc) {
	if !(v >= 0) || math.IsInf(v, 0) {
		add(key, "is %v, want 0 or more", v)
	}
}
