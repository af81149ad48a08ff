// Package evac holds which failure domains the operator has evacuated.
package evac
