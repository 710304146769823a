package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hyssopsill/hyssopsill/finding"
)

// stage parses the edits of a change and validates the configuration that would
// result. It validates only what the edits can affect, so that a change does not
// cost a validation of all routes.
func (s *State) stage(c Change, offset int64) (map[string]*object, finding.List) {
	source := "change " + c.ChangeID
	staged := map[string]*object{}
	var list finding.List
	for _, edit := range c.Edits {
		o, findings := parseObject(source+" "+edit.Object, edit.Object, edit.Value, offset)
		list = append(list, findings...)
		staged[edit.Object] = o
	}
	if len(list) > 0 {
		return nil, list.Sorted()
	}
	add := func(key, format string, args ...any) {
		list = append(list, finding.Finding{File: source, Key: key, Message: fmt.Sprintf(format, args...)})
	}
	s.checkSize(staged, add)
	s.checkReferences(staged, add)
	s.checkAmbiguousRoutes(staged, add)
	s.checkSharedKeys(staged, add)
	return staged, list.Sorted()
}

// parseObject parses the TOML of the object at a path. Without a value it returns
// nil, which stands for a deletion.
func parseObject(file, path, value string, version int64) (*object, finding.List) {
	if value == "" {
		return nil, nil
	}
	o := &object{version: version, value: value}
	var list finding.List
	switch {
	case path == ObjectCustomers:
		var c customers
		c, list = parseCustomers(file, []byte(value))
		o.customers = &c
	case strings.HasPrefix(path, prefixServices):
		var s Service
		s, list = parseService(file, []byte(value))
		o.service = &s
	case strings.HasPrefix(path, prefixAccounts):
		var a Account
		a, list = parseAccount(file, []byte(value))
		o.account = &a
	default:
		var r Route
		r, list = parseRoute(file, strings.TrimPrefix(path, prefixRoutes), []byte(value))
		o.route = &r
	}
	return o, list
}

func (s *State) checkSize(staged map[string]*object, add addFunc) {
	size, count := s.bytes, len(s.objects)
	for path, o := range staged {
		if old, ok := s.objects[path]; ok {
			size, count = size-len(path)-len(old.value), count-1
		}
		if o != nil {
			size, count = size+len(path)+len(o.value), count+1
		}
	}
	if size > MaxStateBytes {
		add("", "the configuration would have %d bytes, at most %d", size, MaxStateBytes)
	}
	if count > MaxObjects {
		add("", "the configuration would have %d objects, at most %d", count, MaxObjects)
	}
}

// lookup returns the object at a path as it would be if the staged ones were in
// force.
func (s *State) lookup(staged map[string]*object, path string) *object {
	if o, ok := staged[path]; ok {
		return o
	}
	return s.objects[path]
}

// checkReferences checks the service and class of each route that is staged or
// whose service is staged.
func (s *State) checkReferences(staged map[string]*object, add addFunc) {
	routes := map[string]*Route{}
	serviceEdited := false
	for path, o := range staged {
		if o != nil && o.route != nil {
			routes[path] = o.route
		}
		serviceEdited = serviceEdited || strings.HasPrefix(path, prefixServices)
	}
	if serviceEdited {
		for path, o := range s.objects {
			if o.route == nil {
				continue
			}
			_, edited := staged[path]
			affected := slices.ContainsFunc(o.route.services(), func(name string) bool { _, ok := staged[prefixServices+name]; return ok })
			if affected && !edited {
				routes[path] = o.route
			}
		}
	}
	lookup := func(name string) (*Service, bool) {
		o := s.lookup(staged, prefixServices+name)
		if o == nil {
			return nil, false
		}
		return o.service, true
	}
	for _, path := range slices.Sorted(maps.Keys(routes)) {
		routes[path].validateReference(path, lookup, add)
	}
}

// checkAmbiguousRoutes reports staged routes that match the same requests as another
// route.
func (s *State) checkAmbiguousRoutes(staged map[string]*object, add addFunc) {
	stagedByMatchKey := map[string]string{}
	for _, path := range slices.Sorted(maps.Keys(staged)) {
		o := staged[path]
		if o == nil || o.route == nil {
			continue
		}
		for _, matchKey := range o.route.matchKeys() {
			if other, taken := claim(staged, prefixRoutes, stagedByMatchKey, s.routeByMatchKey, matchKey, o.route.ID); taken {
				add(path+".path_prefix", "route %q matches the same requests as route %q", o.route.ID, other)
				break
			}
		}
	}
}

// checkSharedKeys reports staged accounts that hold an API key of another account.
func (s *State) checkSharedKeys(staged map[string]*object, add addFunc) {
	stagedByKey := map[string]string{}
	for _, path := range slices.Sorted(maps.Keys(staged)) {
		o := staged[path]
		if o == nil || o.account == nil {
			continue
		}
		name := strings.TrimPrefix(path, prefixAccounts)
		for i, key := range o.account.Keys {
			if other, taken := claim(staged, prefixAccounts, stagedByKey, s.accountByKey, key, name); taken {
				addSharedKey(path, i, name, other, add)
			}
		}
	}
}

// claim notes in claimed that a staged object has a key that only one object may have. If
// another staged object or one in force that is not edited has it, claim returns its name.
func claim(staged map[string]*object, prefix string, claimed, inForce map[string]string, key, name string) (other string, taken bool) {
	other, taken = claimed[key]
	if !taken {
		other, taken = inForce[key]
		_, edited := staged[prefix+other]
		taken = taken && !edited
	}
	if taken && other != name {
		return other, true
	}
	claimed[key] = name
	return "", false
}
