package oper

import (
	"context"
	"fmt"
	"strings"

	"snipeshed/core"
)

// checkFormat returns an error that names the instances which cannot apply tickets of a format or do not answer. Leaving
// instances are skipped, as they take no new calls. An instance that starts later and is too old refuses calls itself.
func (o *Server) checkFormat(ctx context.Context, format uint32) error {
	if format == 0 {
		return nil
	}
	var old, unanswered []string
	for _, in := range o.instanceStatuses(ctx) {
		switch {
		case in.GetState() != stateLive && in.GetId() != o.cfg.GetInstance():
		case !in.GetReachable():
			unanswered = append(unanswered, in.GetId())
		case in.GetFormat() < format:
			old = append(old, fmt.Sprintf("%s (up to %d)", in.GetId(), in.GetFormat()))
		}
	}
	if len(old)+len(unanswered) == 0 {
		return nil
	}
	var parts []string
	if len(old) > 0 {
		parts = append(parts, "cannot be applied by "+strings.Join(old, ", "))
	}
	if len(unanswered) > 0 {
		parts = append(parts, "may not be known to "+strings.Join(unanswered, ", ")+", which did not answer")
	}
	return &core.Error{
		Kind: core.KindOldVersion, Execution: core.NotExecuted,
		Message: fmt.Sprintf("the ticket needs format %d, which %s", format, strings.Join(parts, " and ")),
		Remedy:  "replace these instances by the newer version, then apply the ticket again; or leave out the newer fields",
	}
}
