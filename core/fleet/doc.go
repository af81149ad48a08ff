// Package fleet tracks an instance's view of the endpoints: which exist, which are leaving and since when.
package fleet
