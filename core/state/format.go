package state

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"snipeshed/core"
	"snipeshed/wire"
)

// Format is the highest format of tickets that this version can apply; a field of an item that is added later has a
// higher one in its option since.
const Format uint32 = 0

// WithFormat sets the highest format of tickets that the state applies, for tests of fleets with two versions.
func WithFormat(n uint32) Option { return func(s *State) { s.format = n } }

// Format returns the highest format of tickets that the state applies.
func (s *State) Format() uint32 { return s.format }

// FormatError says that a ticket or snapshot needs a newer version of snipeshed.
type FormatError struct {
	Number core.TicketNumber
	// Needs is the format that it declares, and Knows the highest one known here. Needs is not above Knows when the
	// writer did not declare a field that is unknown here.
	Needs, Knows uint32
}

// Error names the ticket and the formats.
func (e *FormatError) Error() string {
	if e.Needs <= e.Knows {
		return fmt.Sprintf("ticket %d has a field that this version of snipeshed does not know; it needs a newer one", e.Number)
	}
	return fmt.Sprintf("ticket %d needs format %d, but this version of snipeshed knows formats up to %d; it needs a newer one", e.Number, e.Needs, e.Knows)
}

// NeedsNewer reports whether a ticket or snapshot was refused because it needs a newer version of snipeshed.
func NeedsNewer(err error) bool {
	var format *FormatError
	var item *ItemError
	return errors.As(err, &format) || errors.As(err, &item)
}

// checkFormat refuses what would be applied in part: a declared format that is not known, and fields that are not known.
func (s *State) checkFormat(number uint64, needs uint32, m proto.Message) error {
	if needs > s.format || HasUnknown(m) {
		return &FormatError{Number: core.TicketNumber(number), Needs: needs, Knows: s.format}
	}
	return nil
}

// HasUnknown reports whether a message has fields at any depth that this version does not know.
func HasUnknown(m proto.Message) bool {
	found := false
	walk(m.ProtoReflect(), func(m protoreflect.Message, _ protoreflect.FieldDescriptor) {
		found = found || len(m.GetUnknown()) > 0
	})
	return found
}

// Needs returns the least format that has all fields which a ticket sets.
func Needs(m proto.Message) uint32 {
	var n uint32
	walk(m.ProtoReflect(), func(_ protoreflect.Message, f protoreflect.FieldDescriptor) {
		if f != nil {
			n = max(n, Since(f))
		}
	})
	return n
}

// Since returns the format of tickets that a field belongs to.
func Since(f protoreflect.FieldDescriptor) uint32 {
	n, _ := proto.GetExtension(f.Options(), wire.E_Since).(uint32)
	return n
}

// walk visits a message and those in it: each with a nil field first, then with each field that is set.
func walk(m protoreflect.Message, visit func(protoreflect.Message, protoreflect.FieldDescriptor)) {
	visit(m, nil)
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		visit(m, f)
		switch {
		case f.IsMap() && f.MapValue().Message() != nil:
			v.Map().Range(func(_ protoreflect.MapKey, v protoreflect.Value) bool {
				walk(v.Message(), visit)
				return true
			})
		case f.Message() == nil || f.IsMap():
		case f.IsList():
			for i := range v.List().Len() {
				walk(v.List().Get(i).Message(), visit)
			}
		default:
			walk(v.Message(), visit)
		}
		return true
	})
}
