package vet

import (
	"fmt"

	"snipeshed/core"
)

// report collects findings.
type report struct{ findings []core.Finding }

func (r *report) add(severity core.Severity, path, format string, args ...any) {
	r.findings = append(r.findings, core.Finding{Severity: severity, Path: path, Text: fmt.Sprintf(format, args...)})
}

func (r *report) errorf(path, format string, args ...any) {
	r.add(core.SeverityError, path, format, args...)
}

func (r *report) warnf(path, format string, args ...any) {
	r.add(core.SeverityWarning, path, format, args...)
}

func (r *report) changef(path, format string, args ...any) {
	r.add(core.SeverityChange, path, format, args...)
}
