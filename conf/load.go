package conf

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"snipeshed/core"
)

// Load reads settings from a JSON file, sets defaults and validates every value.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	if err := loadFile(path, s); err != nil {
		return nil, err
	}
	return s, checkDependentFields(path, s)
}

// loadFile reads m from a JSON file, sets defaults and validates each field.
func loadFile(path string, m proto.Message) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return &core.Error{
			Kind: core.KindBadRequest, Message: fmt.Sprintf("settings file %q cannot be read", path),
			Remedy: "give the path of a readable JSON file with --settings", Execution: core.NotExecuted, Cause: err,
		}
	}
	return parseJSON(path, b, m)
}

// Parse reads settings from JSON, sets defaults and validates every value; errors contain name.
func Parse(name string, b []byte) (*Settings, error) {
	s := &Settings{}
	if err := parseJSON(name, b, s); err != nil {
		return nil, err
	}
	return s, checkDependentFields(name, s)
}

func parseJSON(name string, b []byte, m proto.Message) error {
	if err := protojson.Unmarshal(b, m); err != nil {
		return &core.Error{
			Kind: core.KindBadRequest, Message: fmt.Sprintf("settings file %q is malformed", name),
			Remedy: "run snipeshed settings for the list of settings and their types", Execution: core.NotExecuted, Cause: err,
		}
	}
	SetDefaults(m)
	return checkFields(name, m)
}

// SetDefaults sets every unset field to the default in its Rule option.
func SetDefaults(s proto.Message) {
	m := s.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := 0; i < fields.Len(); i++ {
		f := fields.Get(i)
		r := ruleOf(f)
		if r.GetDefaultValue() == "" || m.Has(f) {
			continue
		}
		switch f.Kind() {
		case protoreflect.Int64Kind:
			n, err := strconv.ParseInt(r.GetDefaultValue(), 10, 64)
			if err != nil {
				panic(fmt.Sprintf("default of setting %q is not a number", f.Name()))
			}
			m.Set(f, protoreflect.ValueOfInt64(n))
		case protoreflect.DoubleKind:
			n, err := strconv.ParseFloat(r.GetDefaultValue(), 64)
			if err != nil {
				panic(fmt.Sprintf("default of setting %q is not a number", f.Name()))
			}
			m.Set(f, protoreflect.ValueOfFloat64(n))
		case protoreflect.BoolKind:
			m.Set(f, protoreflect.ValueOfBool(r.GetDefaultValue() == "true"))
		case protoreflect.StringKind:
			m.Set(f, protoreflect.ValueOfString(r.GetDefaultValue()))
		default:
			panic(fmt.Sprintf("setting %q has a kind without defaults", f.Name()))
		}
	}
}

// Check returns an error if a required setting is missing or a value is invalid; errors contain name.
func Check(name string, s *Settings) error {
	if err := checkFields(name, s); err != nil {
		return err
	}
	return checkDependentFields(name, s)
}

// checkFields validates each field by its Rule option.
func checkFields(name string, s proto.Message) error {
	m := s.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := 0; i < fields.Len(); i++ {
		if err := checkField(name, m, fields.Get(i)); err != nil {
			return err
		}
	}
	return nil
}

// checkDependentFields validates settings whose limits depend on other settings.
func checkDependentFields(name string, s *Settings) error {
	if s.GetOpenBodyBytes() < s.GetMaxBodyBytes() {
		return fieldError(name, "open_body_bytes", strconv.FormatInt(s.GetOpenBodyBytes(), 10),
			fmt.Sprintf("use at least max_body_bytes, which is %d", s.GetMaxBodyBytes()))
	}
	return nil
}

func checkField(name string, m protoreflect.Message, f protoreflect.FieldDescriptor) error {
	r := ruleOf(f)
	field := string(f.Name())
	v := m.Get(f)
	if r.GetRequired() && !m.Has(f) {
		return fieldError(name, field, "", "set it: "+r.GetDoc())
	}
	switch {
	case field == logLevelField:
		if !isLogLevel(v.String()) {
			return fieldError(name, field, v.String(), "use debug, info, warn or error")
		}
	case f.Kind() == protoreflect.DoubleKind:
		if n := v.Float(); n < float64(r.GetMin()) || (r.GetMax() > 0 && n > float64(r.GetMax())) {
			return fieldError(name, field, strconv.FormatFloat(n, 'g', -1, 64),
				fmt.Sprintf("use %d to %d %s", r.GetMin(), r.GetMax(), r.GetUnit()))
		}
	case f.Kind() == protoreflect.Int64Kind:
		if n := v.Int(); n < r.GetMin() || (r.GetMax() > 0 && n > r.GetMax()) {
			return fieldError(name, field, strconv.FormatInt(n, 10),
				fmt.Sprintf("use %d to %d %s", r.GetMin(), r.GetMax(), r.GetUnit()))
		}
	case r.GetUnit() == addressUnit && f.IsList():
		for j := 0; j < v.List().Len(); j++ {
			if err := checkAddress(name, field, v.List().Get(j).String()); err != nil {
				return err
			}
		}
	case r.GetUnit() == ipUnit:
		if v.String() != "" && net.ParseIP(v.String()) == nil {
			return fieldError(name, field, v.String(), "use an IP address, such as 127.0.0.1, or leave it out")
		}
	case r.GetUnit() == addressUnit && v.String() == "" && !r.GetRequired():
	case r.GetUnit() == addressUnit:
		return checkAddress(name, field, v.String())
	}
	return nil
}

const (
	logLevelField = "log_level"
	addressUnit   = "host:port"
	ipUnit        = "IP number"
)

func checkAddress(name, field, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return fieldError(name, field, addr, "use an IP address and a port, such as 127.0.0.1:8080")
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fieldError(name, field, addr, "use a port from 0 to 65535")
	}
	return nil
}

func isLogLevel(level string) bool {
	return strings.Contains(" debug info warn error ", " "+level+" ")
}

func fieldError(name, field, value, remedy string) error {
	return &core.Error{
		Kind: core.KindBadRequest, Execution: core.NotExecuted,
		Message: fmt.Sprintf("%s: setting %q has the value %q", name, field, value), Remedy: remedy,
	}
}

// ruleOf returns the Rule option of a field in the schema, or nil.
func ruleOf(f protoreflect.FieldDescriptor) *Rule {
	r, _ := proto.GetExtension(f.Options(), E_Rule).(*Rule)
	return r
}
