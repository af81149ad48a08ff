package conf

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// MarkdownReference returns the reference page of all settings in Markdown.
func MarkdownReference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from `proto/conf/settings.proto` by `make generate`; the file is JSON, one object.\n")
	b.WriteString("An unknown field or a value outside its range is refused.\n\n")
	writeFieldTable(&b, (&Settings{}).ProtoReflect().Descriptor().Fields())
	b.WriteString("\n## Entry instances on the users' platform\n\n")
	b.WriteString("Generated from `proto/conf/edge.proto`; `deploy/settings.json` is the template from which the platform makes the file.\n\n")
	writeFieldTable(&b, (&EdgeSettings{}).ProtoReflect().Descriptor().Fields())
	return b.String()
}

func writeFieldTable(b *strings.Builder, fields protoreflect.FieldDescriptors) {
	b.WriteString("| setting | default | range | unit | meaning |\n|---|---|---|---|---|\n")
	for i := 0; i < fields.Len(); i++ {
		f := fields.Get(i)
		r := ruleOf(f)
		value, limits := r.GetDefaultValue(), ""
		if r.GetRequired() {
			value = "required"
		}
		if r.GetMax() > 0 {
			limits = fmt.Sprintf("%d to %d", r.GetMin(), r.GetMax())
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", f.Name(), value, limits, r.GetUnit(), r.GetDoc())
	}
}
