// Package expect forecasts how many tokens a generation will produce.
package expect
