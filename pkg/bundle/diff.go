package bundle

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
)

// Op is the kind of a change.
type Op string

// The operations.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// Change is one difference between two bundles.
type Change struct {
	// Place is the JSON path, with names in place of the indexes of named
	// items, such as "client_accounts[stall-7].share".
	Place string `json:"place"`
	Op    Op     `json:"op"`
	// Old is the old value in JSON, empty for OpAdded.
	Old string `json:"old,omitempty"`
	// New is the new value in JSON, empty for OpRemoved.
	New string `json:"new,omitempty"`
}

// Diff returns the differences between two bundles, ordered by place. It
// ignores the version and the parent.
func Diff(from, to *Bundle) []Change {
	old, changed := from.Document(), to.Document()
	old.Version, old.Parent = 0, 0
	changed.Version, changed.Parent = 0, 0
	var d differ
	d.compare("", toJSONValue(&old), toJSONValue(&changed))
	return d.changes
}

// toJSONValue converts a document to maps, slices and scalars by way of JSON.
func toJSONValue(document *Document) any {
	var value any
	data, err := json.Marshal(document)
	if err != nil {
		return nil
	}
	if json.Unmarshal(data, &value) != nil {
		return nil
	}
	return value
}

type differ struct {
	changes []Change
}

func (d *differ) compare(place string, old, changed any) {
	if reflect.DeepEqual(old, changed) {
		return
	}
	oldObject, oldOK := old.(map[string]any)
	newObject, newOK := changed.(map[string]any)
	if oldOK && newOK {
		d.compareFields(oldObject, newObject, func(name string) string { return fieldPlace(place, name) })
		return
	}
	oldItems, oldOK := itemsByName(old)
	newItems, newOK := itemsByName(changed)
	if oldOK && newOK {
		d.compareFields(oldItems, newItems, func(name string) string { return place + "[" + name + "]" })
		d.compareOrder(place, old, changed, oldItems, newItems)
		return
	}
	d.add(place, OpChanged, old, changed)
}

func (d *differ) compareFields(old, changed map[string]any, placeOf func(string) string) {
	names := slices.Collect(maps.Keys(old))
	for name := range changed {
		if _, found := old[name]; !found {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		oldValue, inOld := old[name]
		newValue, inNew := changed[name]
		switch {
		case !inOld:
			d.add(placeOf(name), OpAdded, nil, newValue)
		case !inNew:
			d.add(placeOf(name), OpRemoved, oldValue, nil)
		default:
			d.compare(placeOf(name), oldValue, newValue)
		}
	}
}

// compareOrder reports a change in the order of the items that are in both
// lists.
func (d *differ) compareOrder(place string, old, changed any, oldItems, newItems map[string]any) {
	before := commonNames(old, newItems)
	after := commonNames(changed, oldItems)
	if !slices.Equal(before, after) {
		d.add(place, OpChanged, before, after)
	}
}

func commonNames(list any, other map[string]any) []string {
	var names []string
	items, _ := list.([]any)
	for _, item := range items {
		name := nameOf(item)
		if _, found := other[name]; found {
			names = append(names, name)
		}
	}
	return names
}

// itemsByName returns the items of a list by name, and false unless every item
// has a name.
func itemsByName(list any) (map[string]any, bool) {
	items, ok := list.([]any)
	if !ok {
		return nil, false
	}
	byName := make(map[string]any)
	for _, item := range items {
		name := nameOf(item)
		if name == "" {
			return nil, false
		}
		byName[name] = item
	}
	return byName, true
}

func nameOf(item any) string {
	object, _ := item.(map[string]any)
	name, _ := object["name"].(string)
	return name
}

func (d *differ) add(place string, op Op, old, changed any) {
	change := Change{Place: place, Op: op}
	if op != OpAdded {
		change.Old = encodeJSON(old)
	}
	if op != OpRemoved {
		change.New = encodeJSON(changed)
	}
	d.changes = append(d.changes, change)
}

func encodeJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(data)
}
