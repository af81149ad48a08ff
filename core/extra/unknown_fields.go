package extra

import (
	"encoding/json"
	"maps"
	"reflect"
	"strings"
)

// UnknownFields holds the fields of one JSON object that are unknown to its Go struct.
type UnknownFields map[string]json.RawMessage

// Parse decodes a JSON object into the struct to which v points and returns the unknown fields.
func Parse(b []byte, v any) (UnknownFields, error) {
	if err := json.Unmarshal(b, v); err != nil {
		return nil, err
	}
	var fields UnknownFields
	if err := json.Unmarshal(b, &fields); err != nil {
		return nil, err
	}
	t := reflect.TypeOf(v).Elem()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		delete(fields, name)
	}
	return fields, nil
}

// Marshal returns the JSON encoding of a struct merged with the unknown fields.
func (fields UnknownFields) Marshal(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil || len(fields) == 0 {
		return b, err
	}
	all := maps.Clone(fields)
	if err := json.Unmarshal(b, &all); err != nil {
		return nil, err
	}
	return json.Marshal(all)
}
