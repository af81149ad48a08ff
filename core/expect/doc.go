// Package expect predicts how many tokens a generation will produce from earlier generations and callers' hints.
package expect
