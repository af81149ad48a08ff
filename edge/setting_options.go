package edge

import (
	"errors"
	"fmt"
	"strconv"

	"snipeshed/conf"
)

// SettingOption replaces a setting of the settings file.
type SettingOption func(*conf.EdgeSettings) error

// WithEvacuationTimeout replaces the setting evacuation_timeout_ms unless the text is empty.
func WithEvacuationTimeout(text string) SettingOption {
	return func(cfg *conf.EdgeSettings) error {
		if text == "" {
			return nil
		}
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 || ms > maxEvacuationMs {
			return fmt.Errorf("evacuation-timeout-ms: %q is not a whole number of ms from 0 to %d", text, maxEvacuationMs)
		}
		cfg.EvacuationTimeoutMs = ms
		return nil
	}
}

// WithColdLimit replaces the settings cold_excess and cold_slack, each unless its text is empty.
func WithColdLimit(excess, slack string) SettingOption {
	return func(cfg *conf.EdgeSettings) error {
		err := setNumber("cold-excess", excess, maxColdExcess, &cfg.ColdExcess)
		return errors.Join(err, setNumber("cold-slack", slack, maxColdSlack, &cfg.ColdSlack))
	}
}

// WithLearnedSpeed replaces the setting learn_endpoint_speed unless the text is empty.
func WithLearnedSpeed(text string) SettingOption {
	return func(cfg *conf.EdgeSettings) error {
		if text == "" {
			return nil
		}
		v, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("learn-endpoint-speed: %q is neither true nor false", text)
		}
		cfg.LearnEndpointSpeed = v
		return nil
	}
}

// setNumber sets a number of the settings to the value of a text unless that is empty.
func setNumber(name, text string, most float64, to *float64) error {
	if text == "" {
		return nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= most) { // the comparison is false for NaN
		return fmt.Errorf("%s: %q is not a number from 0 to %g", name, text, most)
	}
	*to = v
	return nil
}

// The largest values of the settings.
const (
	maxColdExcess = 1000
	maxColdSlack  = 1_000_000
)

// maxEvacuationMs is the largest value of the setting.
const maxEvacuationMs = 600_000
