package oper

import (
	"context"
	"fmt"
	"strings"

	"snipeshed/core"
)

// supported returns an error that names the instances which cannot apply tickets of a format, or do not say so. Leaving
// instances do not count: they take no new calls. One that starts later refuses calls by itself if it is too old.
func (o *Oper) supported(ctx context.Context, format uint32) error {
	if format == 0 {
		return nil
	}
	var old, silent []string
	for _, in := range o.instances(ctx) {
		switch {
		case in.GetState() != stateLive && in.GetId() != o.cfg.GetInstance():
		case !in.GetReachable():
			silent = append(silent, in.GetId())
		case in.GetFormat() < format:
			old = append(old, fmt.Sprintf("%s (up to %d)", in.GetId(), in.GetFormat()))
		}
	}
	if len(old)+len(silent) == 0 {
		return nil
	}
	var parts []string
	if len(old) > 0 {
		parts = append(parts, "cannot be applied by "+strings.Join(old, ", "))
	}
	if len(silent) > 0 {
		parts = append(parts, "may not be known to "+strings.Join(silent, ", ")+", which did not answer")
	}
	return &core.Error{
		Kind: core.KindOldVersion, Run: core.RunNot,
		Message: fmt.Sprintf("the ticket needs format %d, which %s", format, strings.Join(parts, " and ")),
		Remedy:  "replace these instances by the newer version, then apply the ticket again; or leave out the newer fields",
	}
}
