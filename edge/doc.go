// Package edge runs one entry instance on the users' platform.
package edge
