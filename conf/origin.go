package conf

import (
	"fmt"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Origin is where the value of a setting comes from.
type Origin string

const (
	// OriginFile marks a value from the settings file.
	OriginFile Origin = "file"
	// OriginDefault marks the default of a setting that the file leaves out.
	OriginDefault Origin = "default"
)

// EffectiveSetting is a setting with the value that is used and its origin.
type EffectiveSetting struct {
	Name, Value, Unit string
	Origin            Origin
}

// EffectiveEdgeSettings validates a settings file of an entry instance and returns all settings in the order of the schema.
func EffectiveEdgeSettings(path string) ([]EffectiveSetting, error) {
	cfg, err := LoadEdge(path)
	if err != nil {
		return nil, err
	}
	given := &EdgeSettings{}
	b, err := os.ReadFile(path)
	if err == nil {
		err = protojson.Unmarshal(b, given)
	}
	if err != nil {
		return nil, fmt.Errorf("settings file %q changed while it was read; run the command again: %w", path, err)
	}
	return effectiveSettings(given, cfg), nil
}

func effectiveSettings(given, inForce proto.Message) []EffectiveSetting {
	fields := inForce.ProtoReflect().Descriptor().Fields()
	out := make([]EffectiveSetting, 0, fields.Len())
	for i := range fields.Len() {
		f := fields.Get(i)
		v := inForce.ProtoReflect().Get(f)
		s := EffectiveSetting{Name: string(f.Name()), Value: fmt.Sprint(v.Interface()), Unit: ruleOf(f).GetUnit(), Origin: OriginDefault}
		if f.IsList() {
			var items []string
			for j := range v.List().Len() {
				items = append(items, fmt.Sprint(v.List().Get(j).Interface()))
			}
			s.Value = strings.Join(items, " ")
		}
		if given.ProtoReflect().Has(f) {
			s.Origin = OriginFile
		}
		out = append(out, s)
	}
	return out
}
