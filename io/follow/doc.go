// Package follow reads one generation to its end across broken and silent connections.
package follow
