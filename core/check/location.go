package check

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"

	"snipeshed/core"
)

// at is a place in a ticket; its methods check one field there.
type at struct {
	Check
	path string
}

func (a at) fault(field, value, remedy string) error {
	path := a.path
	if path != "" && field != "" {
		path += "."
	}
	return &core.Error{
		Kind: core.KindBadRequest, Run: core.RunNot, Remedy: remedy,
		Message: fmt.Sprintf("%s: field %s has the value %q", a.Source, path+field, value),
	}
}

// Names appear in URL paths and in keys of the object API, so they hold no slash.
var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	digest       = regexp.MustCompile(`^[0-9a-f]{64}$`)
	textPattern  = regexp.MustCompile(`^[^\x00-\x1f\x7f]*$`)
)

// region may be left out by a fleet of one region.
func (a at) region(value string) error {
	if value == "" {
		return nil
	}
	return a.name("region", value)
}

func (a at) name(field, value string) error {
	if !namePattern.MatchString(value) {
		return a.fault(field, value, "use 1 to 63 lower-case letters, digits, dots, dashes or underscores, starting with a letter or digit")
	}
	return nil
}

func (a at) model(field, value string) error {
	if !modelPattern.MatchString(value) {
		return a.fault(field, value, "use 1 to 128 letters, digits, dots, dashes, colons or slashes, starting with a letter or digit")
	}
	return nil
}

func (a at) text(field, value string) error {
	if len(value) > maxTextBytes || !textPattern.MatchString(value) {
		return a.fault(field, value, fmt.Sprintf("use at most %d bytes without control characters", maxTextBytes))
	}
	return nil
}

func (a at) within(field string, n, low, high int64) error {
	if n < low || n > high {
		return a.fault(field, strconv.FormatInt(n, 10), fmt.Sprintf("use %d to %d", low, high))
	}
	return nil
}

func (a at) digest(field, value string) error {
	if !digest.MatchString(value) {
		return a.fault(field, value, "use the SHA-256 digest of the key as 64 lower-case hex digits, not the key")
	}
	return nil
}

func (a at) address(field, value string) error {
	p, err := netip.ParseAddrPort(value)
	if err != nil || p.Port() == 0 || p.Addr().IsUnspecified() || p.Addr().IsMulticast() {
		return a.fault(field, value, "use the endpoint's IP number and port, such as 127.0.0.1:9101")
	}
	// Endpoints are compared by the text of their addresses, so each address has one spelling.
	if canonical := netip.AddrPortFrom(p.Addr().Unmap(), p.Port()).String(); canonical != value {
		return a.fault(field, value, "write it as "+canonical)
	}
	return nil
}

// first returns the first error.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
