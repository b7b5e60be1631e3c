// Package strictjson decodes JSON documents into Go structs. It reports every
// problem with its JSON path, instead of only the first one: unknown and
// duplicate fields, wrong types, numbers out of range and trailing data.
//
// Field names are case-sensitive. null is accepted for pointers only.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"oleanderramp/pkg/finding"
)

// Decode decodes data into the struct that target points to and adds a
// finding to list for each problem. Valid fields are set even when other
// fields have problems. maxBytes bounds the size of data.
func Decode(data []byte, target any, maxBytes int, list *finding.List) {
	if len(data) > maxBytes {
		list.Addf("", "the document has %d bytes, more than the %d allowed", len(data), maxBytes)
		return
	}
	if _, err := Check(data, documentBounds); err != nil {
		list.Addf("", "%s", err)
		return
	}
	if !utf8.Valid(data) {
		list.Addf("", "the document is not valid UTF-8")
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		list.Addf("", "%s", describeSyntax(data, err))
		return
	}
	end := decoder.InputOffset()
	rest := bytes.TrimLeft(data[end:], " \t\r\n")
	if len(rest) > 0 {
		list.Addf("", "trailing data after the document at %s", position(data, len(data)-len(rest)))
	}
	walker := &walker{list: list, fields: make(map[reflect.Type]map[string]int)}
	walker.tokens = json.NewDecoder(bytes.NewReader(value))
	walker.tokens.UseNumber()
	walker.value("", reflect.ValueOf(target).Elem())
	if walker.err != nil {
		list.Addf("", "not JSON: %s", walker.err)
	}
}

func describeSyntax(data []byte, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("not JSON at %s: %s", position(data, max(0, int(syntax.Offset)-1)), syntax)
	}
	if len(bytes.TrimSpace(data)) == 0 {
		return "the document is empty"
	}
	return fmt.Sprintf("not JSON: the document ends early (%s)", err)
}

// position formats a byte offset as "line L, column C", both counted from 1.
func position(data []byte, offset int) string {
	before := data[:min(offset, len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// walker decodes a document that is known to be valid JSON, token by token.
type walker struct {
	tokens *json.Decoder
	list   *finding.List
	// fields caches the index of each JSON field by struct type and name.
	fields map[reflect.Type]map[string]int
	// err is the first error of tokens.
	err error
}

// next returns the next token, or nil after an error.
func (w *walker) next() json.Token {
	token, err := w.tokens.Token()
	if err != nil && w.err == nil {
		w.err = err
	}
	return token
}

// value decodes the next value of the document into target.
func (w *walker) value(place string, target reflect.Value) {
	w.token(place, w.next(), target)
}

func (w *walker) token(place string, token json.Token, target reflect.Value) {
	if target.Kind() == reflect.Pointer {
		if token == nil {
			return
		}
		target.Set(reflect.New(target.Type().Elem()))
		w.token(place, token, target.Elem())
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		w.object(place, token, target)
	case reflect.Slice:
		w.array(place, token, target)
	default:
		w.scalar(place, token, target)
	}
}

func (w *walker) object(place string, token json.Token, target reflect.Value) {
	if token != json.Delim('{') {
		w.mismatch(place, token, "an object")
		return
	}
	fields := w.fieldsOf(target.Type())
	seen := make(map[string]bool)
	for w.err == nil && w.tokens.More() {
		name, _ := w.next().(string)
		fieldPlace := joinPlace(place, name)
		field, known := fields[name]
		switch {
		case !known:
			w.list.Addf(fieldPlace, "unknown field")
			w.skip(w.next())
		case seen[name]:
			w.list.Addf(fieldPlace, "duplicate field")
			w.skip(w.next())
		default:
			w.value(fieldPlace, target.Field(field))
		}
		seen[name] = true
	}
	w.next()
}

func (w *walker) array(place string, token json.Token, target reflect.Value) {
	if token != json.Delim('[') {
		w.mismatch(place, token, "an array")
		return
	}
	for i := 0; w.err == nil && w.tokens.More(); i++ {
		item := reflect.New(target.Type().Elem()).Elem()
		w.value(place+"["+strconv.Itoa(i)+"]", item)
		target.Set(reflect.Append(target, item))
	}
	w.next()
}

func (w *walker) scalar(place string, token json.Token, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		if text, ok := token.(string); ok {
			target.SetString(text)
			return
		}
		w.mismatch(place, token, "a string")
	case reflect.Bool:
		if flag, ok := token.(bool); ok {
			target.SetBool(flag)
			return
		}
		w.mismatch(place, token, "true or false")
	default:
		number, ok := token.(json.Number)
		if !ok {
			w.mismatch(place, token, "a number")
			return
		}
		if message := setNumber(number.String(), target); message != "" {
			w.list.Addf(place, "%s", message)
		}
	}
}

// setNumber parses text into target. It returns an error message, or "" on
// success.
func setNumber(text string, target reflect.Value) string {
	var err error
	switch {
	case target.CanInt():
		var number int64
		if number, err = strconv.ParseInt(text, 10, target.Type().Bits()); err == nil {
			target.SetInt(number)
			return ""
		}
	case target.CanUint():
		var number uint64
		if number, err = strconv.ParseUint(text, 10, target.Type().Bits()); err == nil {
			target.SetUint(number)
			return ""
		}
	default:
		var number float64
		if number, err = strconv.ParseFloat(text, target.Type().Bits()); err == nil {
			target.SetFloat(number)
			return ""
		}
	}
	if errors.Is(err, strconv.ErrRange) {
		return "the number " + shorten(text) + " is out of range"
	}
	if target.CanUint() {
		return "must be a whole number of at least 0, not " + shorten(text)
	}
	return "must be a whole number, not " + shorten(text)
}

// mismatch reports a value of the wrong type and skips it.
func (w *walker) mismatch(place string, token json.Token, want string) {
	w.list.Addf(place, "must be %s, not %s", want, describeToken(token))
	w.skip(token)
}

// skip discards the value that begins with token.
func (w *walker) skip(token json.Token) {
	if token != json.Delim('{') && token != json.Delim('[') {
		return
	}
	for depth := 1; depth > 0 && w.err == nil; {
		switch w.next() {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
}

func describeToken(token json.Token) string {
	switch value := token.(type) {
	case nil:
		return "null"
	case json.Delim:
		if value == '{' {
			return "an object"
		}
		return "an array"
	case string:
		return "the string " + strconv.Quote(shorten(value))
	case json.Number:
		return "the number " + shorten(value.String())
	default:
		return fmt.Sprint(value)
	}
}

// maxShown bounds how many bytes of a value are quoted in a finding.
const maxShown = 40

func shorten(text string) string {
	if len(text) <= maxShown {
		return text
	}
	return strings.ToValidUTF8(text[:maxShown], "") + "..."
}

func (w *walker) fieldsOf(structType reflect.Type) map[string]int {
	fields, known := w.fields[structType]
	if known {
		return fields
	}
	fields = make(map[string]int)
	for i := range structType.NumField() {
		name, _, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	w.fields[structType] = fields
	return fields
}

func joinPlace(place, name string) string {
	name = shorten(name)
	if place == "" {
		return name
	}
	return place + "." + name
}
