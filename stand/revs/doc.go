// Package revs makes revisions of a store for tests.
package revs
