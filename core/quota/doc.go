// Package quota bounds what the open requests of one instance hold, so that no team or rank takes the room of the others.
package quota
