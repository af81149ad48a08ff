package state

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"snipeshed/core"
	"snipeshed/wire"
)

// Format is the highest ticket format that this version can apply. A field that is added to an item later declares a
// higher format with the field option since.
const Format uint32 = 0

// WithFormat sets the highest ticket format that the state applies, for tests of fleets that run two versions.
func WithFormat(n uint32) Option { return func(s *State) { s.maxFormat = n } }

// Format returns the highest ticket format that the state applies.
func (s *State) Format() uint32 { return s.maxFormat }

// FormatError means that a ticket or snapshot needs a newer version of snipeshed.
type FormatError struct {
	Number core.TicketNumber
	// Required is the format that the ticket declares, and Supported the highest one that this version can apply. Required is
	// not above Supported if the ticket has an unknown field whose format its writer did not declare.
	Required, Supported uint32
}

// Error names the ticket and, if the declared format is too high, both formats.
func (e *FormatError) Error() string {
	if e.Required <= e.Supported {
		return fmt.Sprintf("ticket %d has a field that this version of snipeshed does not know; it needs a newer one", e.Number)
	}
	return fmt.Sprintf("ticket %d needs format %d, but this version of snipeshed knows formats up to %d; it needs a newer one", e.Number, e.Required, e.Supported)
}

// NeedsNewer reports whether a ticket or snapshot was refused because it needs a newer version of snipeshed.
func NeedsNewer(err error) bool {
	var format *FormatError
	var item *ItemError
	return errors.As(err, &format) || errors.As(err, &item)
}

// checkFormat refuses a message that would be applied only in part: one with an unsupported format or with unknown fields.
func (s *State) checkFormat(number uint64, required uint32, m proto.Message) error {
	if required > s.maxFormat || HasUnknownFields(m) {
		return &FormatError{Number: core.TicketNumber(number), Required: required, Supported: s.maxFormat}
	}
	return nil
}

// HasUnknownFields reports whether a message has unknown fields at any depth.
func HasUnknownFields(m proto.Message) bool {
	found := false
	walkFields(m.ProtoReflect(), func(m protoreflect.Message, _ protoreflect.FieldDescriptor) {
		found = found || len(m.GetUnknown()) > 0
	})
	return found
}

// RequiredFormat returns the lowest format that includes all fields that a ticket sets.
func RequiredFormat(m proto.Message) uint32 {
	var n uint32
	walkFields(m.ProtoReflect(), func(_ protoreflect.Message, f protoreflect.FieldDescriptor) {
		if f != nil {
			n = max(n, FieldFormat(f))
		}
	})
	return n
}

// FieldFormat returns the first ticket format that includes a field.
func FieldFormat(f protoreflect.FieldDescriptor) uint32 {
	n, _ := proto.GetExtension(f.Options(), wire.E_Since).(uint32)
	return n
}

// walkFields calls visit for a message and for each message nested in it, first with a nil field and then with each field
// that is set.
func walkFields(m protoreflect.Message, visit func(protoreflect.Message, protoreflect.FieldDescriptor)) {
	visit(m, nil)
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		visit(m, f)
		switch {
		case f.IsMap() && f.MapValue().Message() != nil:
			v.Map().Range(func(_ protoreflect.MapKey, v protoreflect.Value) bool {
				walkFields(v.Message(), visit)
				return true
			})
		case f.Message() == nil || f.IsMap():
		case f.IsList():
			for i := range v.List().Len() {
				walkFields(v.List().Get(i).Message(), visit)
			}
		default:
			walkFields(v.Message(), visit)
		}
		return true
	})
}
