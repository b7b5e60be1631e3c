package endpoint

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"oleanderramp/pkg/finding"
)

// ParseAnnouncement parses an announcement strictly: an unknown or repeated
// field, a value of the wrong type and text after the document are errors. The
// returned error is a *finding.Error that lists all of them.
func ParseAnnouncement(data []byte, limits AnnouncementLimits) (*AnnouncementDocument, error) {
	found := &finding.List{}
	document := &AnnouncementDocument{}
	if !decodeObject(data, document.fields(), found) {
		return nil, found.Err()
	}
	invalidFields := make(map[string]bool)
	for _, f := range found.All() {
		invalidFields[f.Place()] = true
	}
	for _, f := range document.Validate(limits).All() {
		if !invalidFields[f.Place()] {
			found.Addf(f.Place(), "%s", f.Message())
		}
	}
	if err := found.Err(); err != nil {
		return nil, err
	}
	return document, nil
}

// field is one field of a JSON object and the variable that receives its value.
type field struct {
	name   string
	target any
	seen   bool
}

func (d *AnnouncementDocument) fields() []*field {
	return []*field{
		{name: "endpoint", target: &d.Endpoint},
		{name: "incarnation", target: &d.Incarnation},
		{name: "sequence", target: &d.Sequence},
		{name: "service", target: &d.Service},
		{name: "region", target: &d.Region},
		{name: "zone", target: &d.Zone},
		{name: "address", target: &d.Address},
		{name: "slots", target: &d.Slots},
		{name: "checks_fencing", target: &d.ChecksFencing},
		{name: "running", target: &d.Running},
		{name: "queued", target: &d.Queued},
		{name: "models", target: &d.Models},
		{name: "adapters", target: &d.Adapters},
		{name: "cached", target: &d.Cached},
		{name: "leaving", target: &d.Leaving},
		{name: "lease_ms", target: &d.LeaseMS},
	}
}

// decodeObject decodes one JSON object into the targets of its fields. It
// returns false if the text is not a JSON object.
func decodeObject(data []byte, fields []*field, found *finding.List) bool {
	decoder := json.NewDecoder(bytes.NewReader(data))
	first, err := decoder.Token()
	if err != nil {
		addSyntaxError(found, err)
		return false
	}
	if first != json.Delim('{') {
		found.Addf("", "must be a JSON object")
		return false
	}
	for decoder.More() {
		if err := decodeField(decoder, fields, found); err != nil {
			addSyntaxError(found, err)
			return false
		}
	}
	if _, err := decoder.Token(); err != nil {
		addSyntaxError(found, err)
		return false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		found.Addf("", "must hold nothing after the object")
		return false
	}
	return true
}

func addSyntaxError(found *finding.List, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		found.Addf("", "not JSON: the text ends early")
		return
	}
	found.Addf("", "not JSON: %v", err)
}

// decodeField decodes one name and its value. It returns an error only for
// invalid JSON.
func decodeField(decoder *json.Decoder, fields []*field, found *finding.List) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	name, ok := token.(string)
	if !ok {
		return fmt.Errorf("unexpected %v", token)
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return err
	}
	for _, f := range fields {
		if f.name != name {
			continue
		}
		if f.seen {
			found.Addf(name, "must not be repeated")
			return nil
		}
		f.seen = true
		if string(value) == "null" || json.Unmarshal(value, f.target) != nil {
			found.Addf(name, "must be %s", describe(f.target))
		}
		return nil
	}
	found.Addf(name, "unknown field")
	return nil
}

// describe names the JSON type of a target, for findings.
func describe(target any) string {
	switch target.(type) {
	case *string:
		return "a string"
	case *bool:
		return "true or false"
	case *uint32:
		return "a whole number below 2^32"
	case *uint64:
		return "a whole number below 2^64"
	default:
		return "a list of strings"
	}
}
