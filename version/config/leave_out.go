package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hyssopsill/hyssopsill/finding"
)

// LeaveOutInvalid removes what Validate would find fault with, so that the rest can come into
// force, and returns and keeps the findings. An operator who revokes a key must not depend on
// a value elsewhere in the same version.
//
// A key, a rank or a limit of an account is left out by itself. An account stays without
// them, since a configuration without accounts admits all requests. The requests of a route
// that is left out are refused: they must not fall to a route with a shorter prefix.
func (c *Config) LeaveOutInvalid(file string) finding.List {
	l := &leaveOut{config: c, file: file}
	l.services()
	l.routes()
	l.accounts()
	c.LeftOut = append(c.LeftOut, l.list...)
	return c.LeftOut
}

type leaveOut struct {
	config *Config
	file   string
	list   finding.List
}

func (l *leaveOut) add(key, format string, args ...any) {
	l.list = append(l.list, finding.Finding{File: l.file, Key: key, Message: fmt.Sprintf(format, args...)})
}

// finds reports whether check adds a finding.
func (l *leaveOut) finds(check func(add addFunc)) bool {
	before := len(l.list)
	check(l.add)
	return len(l.list) > before
}

func (l *leaveOut) services() {
	c := l.config
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		key, s := "services."+name, c.Services[name]
		for _, className := range slices.Sorted(maps.Keys(s.Classes)) {
			class := s.Classes[className]
			if l.finds(func(add addFunc) { class.validate(key+".classes."+className, className, add) }) {
				delete(s.Classes, className)
			}
		}
		if l.finds(func(add addFunc) { validateServiceName(key, name, add); s.validate(key, add) }) {
			delete(c.Services, name)
		}
	}
}

func (l *leaveOut) routes() {
	c := l.config
	ids, matchKeys, kept := map[string]bool{}, map[string]bool{}, make([]Route, 0, len(c.Routes))
	for _, r := range c.Routes {
		key := "routes." + r.ID
		matches := !l.finds(func(add addFunc) { r.validate(key, add) })
		if matches && (ids[r.ID] || slices.ContainsFunc(r.matchKeys(), func(k string) bool { return matchKeys[k] })) {
			l.add(key, "another route has its name or matches the same requests")
			matches = false
		}
		if !matches {
			continue
		}
		if !r.Blocked && l.finds(func(add addFunc) { r.validateReference(key, c.lookupService, add) }) {
			r = Route{ID: r.ID, Host: r.Host, PathPrefix: r.PathPrefix, Methods: r.Methods, Blocked: true}
		}
		ids[r.ID] = true
		for _, k := range r.matchKeys() {
			matchKeys[k] = true
		}
		kept = append(kept, r)
	}
	c.Routes = kept
}

func (l *leaveOut) accounts() {
	c, holders := l.config, l.holders()
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		path, a := "accounts."+name, c.Accounts[name]
		a.Keys = l.usableKeys(path, name, a.Keys, holders)
		if a.Rank != nil && l.finds(func(add addFunc) { checkRank(path+".rank", *a.Rank, add) }) {
			a.Rank = nil
		}
		if l.finds(func(add addFunc) { a.validateLimit(path, add) }) {
			a.Rate, a.Burst = 0, 0
		}
		c.Accounts[name] = a
		if l.finds(func(add addFunc) { validateAccountName(path, name, add) }) {
			delete(c.Accounts, name)
		}
	}
	if c.Accounts != nil && len(c.Accounts) == 0 {
		c.Accounts[accountWithoutKeys] = Account{}
	}
}

// accountWithoutKeys takes the place of the accounts when all were left out.
const accountWithoutKeys = "left-out"

// holders returns the accounts of each key, by name.
func (l *leaveOut) holders() map[string][]string {
	holders := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(l.config.Accounts)) {
		for _, key := range l.config.Accounts[name].Keys {
			if !slices.Contains(holders[key], name) {
				holders[key] = append(holders[key], name)
			}
		}
	}
	return holders
}

// usableKeys returns the keys that can be used. One that two accounts have is left out of
// both: no request with it may be taken for one of another customer.
func (l *leaveOut) usableKeys(path, name string, keys []string, holders map[string][]string) []string {
	var usable []string
	for i, key := range keys {
		if l.finds(func(add addFunc) { validateKey(fmt.Sprintf("%s.keys[%d]", path, i), key, add) }) {
			continue
		}
		if other := slices.IndexFunc(holders[key], func(other string) bool { return other != name }); other >= 0 {
			addSharedKey(path, i, name, holders[key][other], l.add)
			continue
		}
		usable = append(usable, key)
	}
	return usable
}
