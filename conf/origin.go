package conf

import (
	"fmt"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Origin says where the value of a setting comes from.
type Origin string

const (
	// OriginFile marks a value that the settings file gives.
	OriginFile Origin = "file"
	// OriginDefault marks the value of a setting that the file leaves out.
	OriginDefault Origin = "default"
)

// InForce is a setting with its value and where that comes from.
type InForce struct {
	Name, Value, Unit string
	Origin            Origin
}

// ExplainEdge checks a settings file of an entry instance and lists what is in force, in the order of the schema.
func ExplainEdge(path string) ([]InForce, error) {
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
		return nil, fmt.Errorf("settings file %q changed while it was read: %w", path, err)
	}
	return explain(given, cfg), nil
}

func explain(given, inForce proto.Message) []InForce {
	fields := inForce.ProtoReflect().Descriptor().Fields()
	out := make([]InForce, 0, fields.Len())
	for i := range fields.Len() {
		f := fields.Get(i)
		v := inForce.ProtoReflect().Get(f)
		s := InForce{Name: string(f.Name()), Value: fmt.Sprint(v.Interface()), Unit: ruleOf(f).GetUnit(), Origin: OriginDefault}
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
