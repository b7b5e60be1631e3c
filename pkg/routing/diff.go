package routing

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Place is the path of the value, with names in place of the indexes of named items,
	// such as "routes[chat].timeout".
	Place string `json:"place"`
	// Old and New are the values; empty if there is none.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Diff returns the differences between two documents, ordered by place. Keys of accounts
// are shown by the beginning of their SHA-256 digests.
func Diff(from, to Document) []Change {
	old, changed := flatten(from), flatten(to)
	places := maps.Clone(old)
	maps.Copy(places, changed)
	var changes []Change
	for place := range places {
		if old[place] != changed[place] {
			changes = append(changes, Change{Place: place, Old: old[place], New: changed[place]})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Place, b.Place) })
	return changes
}

// flatten returns the values of the document by place.
func flatten(d Document) map[string]string {
	d.Accounts = slices.Clone(d.Accounts)
	for i, a := range d.Accounts {
		hidden := make([]string, len(a.Keys))
		for j, key := range a.Keys {
			hidden[j] = hideKey(key)
		}
		d.Accounts[i].Keys = hidden
	}
	values := make(map[string]string)
	flattenValue(values, "", reflect.ValueOf(d))
	return values
}

// hiddenBytes is how much of a key's digest is shown.
const hiddenBytes = 6

func hideKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:hiddenBytes])
}

func flattenValue(values map[string]string, place string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			flattenValue(values, place, value.Elem())
		}
	case reflect.Struct:
		for i := range value.NumField() {
			name := value.Type().Field(i).Name
			child := strings.ToLower(name[:1]) + name[1:]
			if place != "" {
				child = place + "." + child
			}
			flattenValue(values, child, value.Field(i))
		}
	case reflect.Slice:
		for i := range value.Len() {
			flattenValue(values, fmt.Sprintf("%s[%s]", place, itemName(i, value.Index(i))), value.Index(i))
		}
	case reflect.String:
		values[place] = fmt.Sprintf("%q", value)
	default:
		values[place] = fmt.Sprint(value)
	}
}

// itemName returns what identifies an item of a list: its name, its service or, for a
// text, itself.
func itemName(index int, item reflect.Value) string {
	if item.Kind() == reflect.String {
		return item.String()
	}
	for _, field := range []string{"Name", "Service"} {
		if name := item.FieldByName(field); name.IsValid() && name.String() != "" {
			return name.String()
		}
	}
	return fmt.Sprint(index)
}
