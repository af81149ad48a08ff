// Package allow limits the retries of the whole fleet in a sliding window without coordination between instances.
package allow
