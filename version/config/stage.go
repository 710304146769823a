package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hyssopsill/hyssopsill/finding"
)

// stage parses the edits of a change and validates the configuration that would
// result. Only what the edits can affect is checked again, so that the cost of
// a change does not grow with the number of routes.
func (f *State) stage(c Change, at int64) (map[string]*object, finding.List) {
	source := "change " + c.ChangeID
	staged := map[string]*object{}
	var list finding.List
	for _, edit := range c.Edits {
		o, findings := parseObject(source+" "+edit.Object, edit.Object, edit.Value, at)
		list = append(list, findings...)
		staged[edit.Object] = o
	}
	if len(list) > 0 {
		return nil, list.Sorted()
	}
	add := func(key, format string, args ...any) {
		list = append(list, finding.Finding{File: source, Key: key, Message: fmt.Sprintf(format, args...)})
	}
	f.checkSize(staged, add)
	f.checkReferences(staged, add)
	f.checkRules(staged, add)
	return staged, list.Sorted()
}

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
	default:
		var r Route
		r, list = parseRoute(file, strings.TrimPrefix(path, prefixRoutes), []byte(value))
		o.route = &r
	}
	return o, list
}

func (f *State) checkSize(staged map[string]*object, add addFunc) {
	size, count := f.bytes, len(f.objects)
	for path, o := range staged {
		if old, ok := f.objects[path]; ok {
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

// lookup returns an object as it would be with the staged ones in force.
func (f *State) lookup(staged map[string]*object, path string) *object {
	if o, ok := staged[path]; ok {
		return o
	}
	return f.objects[path]
}

func (f *State) checkReferences(staged map[string]*object, add addFunc) {
	check := map[string]*Route{}
	serviceEdited := false
	for path, o := range staged {
		if o != nil && o.route != nil {
			check[path] = o.route
		}
		serviceEdited = serviceEdited || strings.HasPrefix(path, prefixServices)
	}
	if serviceEdited {
		for path, o := range f.objects {
			if o.route == nil {
				continue
			}
			_, edited := staged[path]
			if _, affected := staged[prefixServices+o.route.Service]; affected && !edited {
				check[path] = o.route
			}
		}
	}
	for _, path := range slices.Sorted(maps.Keys(check)) {
		f.checkReference(path, check[path], staged, add)
	}
}

func (f *State) checkReference(path string, r *Route, staged map[string]*object, add addFunc) {
	service := f.lookup(staged, prefixServices+r.Service)
	if service == nil {
		add(path+".service", "service %q does not exist", r.Service)
		return
	}
	if _, ok := service.service.Classes[r.Class]; !ok {
		add(path+".class", "class %q does not exist in service %q", r.Class, r.Service)
	}
}

func (f *State) checkRules(staged map[string]*object, add addFunc) {
	owners := map[string]string{}
	for _, path := range slices.Sorted(maps.Keys(staged)) {
		o := staged[path]
		if o == nil || o.route == nil {
			continue
		}
		for _, rule := range o.route.rules() {
			other, taken := owners[rule]
			if !taken {
				other, taken = f.rules[rule]
				_, edited := staged[prefixRoutes+other]
				taken = taken && !edited
			}
			if taken && other != o.route.ID {
				add(path+".path_prefix", "route %q matches the same requests as route %q", o.route.ID, other)
				break
			}
			owners[rule] = o.route.ID
		}
	}
}
