package check

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"

	"snipeshed/core"
)

// location is the path of a message in a ticket or in the configuration; its methods check fields of that message.
type location struct {
	Validator
	path string
}

func (l location) fieldError(field, value, remedy string) error {
	path := l.path
	if path != "" && field != "" {
		path += "."
	}
	return &core.Error{
		Kind: core.KindBadRequest, Execution: core.NotExecuted, Remedy: remedy,
		Message: fmt.Sprintf("%s: field %s has the value %q", l.Source, path+field, value),
	}
}

// Names are used in URL paths and in keys of the object API, so they must not contain a slash.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	textPattern   = regexp.MustCompile(`^[^\x00-\x1f\x7f]*$`)
)

// checkRegion accepts an empty region, for fleets that have only one.
func (l location) checkRegion(value string) error {
	if value == "" {
		return nil
	}
	return l.checkName("region", value)
}

func (l location) checkName(field, value string) error {
	if !namePattern.MatchString(value) {
		return l.fieldError(field, value, "use 1 to 63 lower-case letters, digits, dots, dashes or underscores, starting with a letter or digit")
	}
	return nil
}

func (l location) checkModel(field, value string) error {
	if !modelPattern.MatchString(value) {
		return l.fieldError(field, value, "use 1 to 128 letters, digits, dots, dashes, colons or slashes, starting with a letter or digit")
	}
	return nil
}

func (l location) checkText(field, value string) error {
	if len(value) > maxTextBytes || !textPattern.MatchString(value) {
		return l.fieldError(field, value, fmt.Sprintf("use at most %d bytes without control characters", maxTextBytes))
	}
	return nil
}

func (l location) checkRange(field string, n, low, high int64) error {
	if n < low || n > high {
		return l.fieldError(field, strconv.FormatInt(n, 10), fmt.Sprintf("use %d to %d", low, high))
	}
	return nil
}

func (l location) checkDigest(field, value string) error {
	if !digestPattern.MatchString(value) {
		return l.fieldError(field, value, "use the SHA-256 digest of the key as 64 lower-case hex digits, not the key")
	}
	return nil
}

func (l location) checkAddress(field, value string) error {
	p, err := netip.ParseAddrPort(value)
	if err != nil || p.Port() == 0 || p.Addr().IsUnspecified() || p.Addr().IsMulticast() {
		return l.fieldError(field, value, "use the endpoint's IP address and port, such as 127.0.0.1:9101")
	}
	// Endpoint addresses are compared as text, so each address must be in its canonical form.
	if canonical := netip.AddrPortFrom(p.Addr().Unmap(), p.Port()).String(); canonical != value {
		return l.fieldError(field, value, "write it as "+canonical)
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
