package conf

import (
	"fmt"
	"strings"
)

// Table returns the reference of all settings as a Markdown page.
func Table() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from `proto/conf/settings.proto` by `make generate`; the file is JSON, one object.\n")
	b.WriteString("An unknown field or a value outside its range is refused.\n\n")
	b.WriteString("| setting | default | range | unit | meaning |\n|---|---|---|---|---|\n")
	fields := (&Settings{}).ProtoReflect().Descriptor().Fields()
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
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.Name(), value, limits, r.GetUnit(), r.GetDoc())
	}
	return b.String()
}
