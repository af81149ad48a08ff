// Package follow reads the stream of one generation to its end and resumes it over broken and silent connections.
package follow
