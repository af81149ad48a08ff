// Package allow limits the retries of the whole fleet in a sliding window without asking other instances.
package allow
